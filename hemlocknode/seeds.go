package hemlocknode

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/platform/hemlockplatform"
)

const (
	seedRowsPerZone     = 8
	seedPrefix          = "seed/"
	seedRefreshInterval = time.Minute
	seedRetryInterval   = 5 * time.Second
	seedListLimit       = 256
	seedCallTimeout     = time.Second
)

type seedRow struct {
	Address string `json:"address"`
}

// Seeds maintains rows with addresses of peers in the platform's table, through which a starting node joins the others. The
// rows may be outdated: a node that tries the address of a dead peer only loses time.
type Seeds struct {
	client *hemlockplatform.Client
	gossip *hemlockmember.Gossip
	duties *Duties
	self   string
	zone   string
	log    logr.Logger
}

// run writes the address of this node to one row at start, and again when the platform has returned from an older copy and may have
// lost it. While the node knows no other live node, it joins through the rows; otherwise it refreshes the rows that are assigned to this
// node. It runs until the context ends.
func (s *Seeds) run(ctx context.Context) {
	if s.client == nil {
		return
	}
	s.writeRow(ctx, s.rowKey(seedRowNumber(s.self)))
	era := s.client.Era()
	var refreshedAt time.Time
	for wait := time.Duration(0); hemlockcall.Sleep(ctx, wait); wait = seedRetryInterval {
		if stated := s.client.Era(); stated != era {
			era, refreshedAt = stated, time.Time{}
			s.writeRow(ctx, s.rowKey(seedRowNumber(s.self)))
		}
		if s.isAlone() {
			s.joinFromRows(ctx)
		} else if time.Since(refreshedAt) >= seedRefreshInterval {
			s.refreshRows(ctx)
			refreshedAt = time.Now()
		}
	}
}

func seedRowNumber(address string) int {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(address))
	return int(digest.Sum32() % seedRowsPerZone)
}

func (s *Seeds) rowKey(number int) string {
	return seedPrefix + s.zone + "/" + strconv.Itoa(number)
}

func (s *Seeds) isAlone() bool {
	for _, m := range s.gossip.View().Members() {
		if m.Address != s.self && m.State != hemlockmember.Dead {
			return false
		}
	}
	return true
}

func (s *Seeds) joinFromRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	rows, err := s.client.List(ctx, seedPrefix, "", seedListLimit)
	if err != nil {
		s.log.V(1).Info("seed rows not read", "error", err.Error())
		return
	}
	var addresses []string
	for _, row := range rows {
		var seed seedRow
		if json.Unmarshal(row.Value, &seed) == nil && seed.Address != s.self {
			addresses = append(addresses, seed.Address)
		}
	}
	s.gossip.AddSeeds(addresses)
}

func (s *Seeds) refreshRows(ctx context.Context) {
	for number := range seedRowsPerZone {
		if s.duties.isAssigned("seed/"+strconv.Itoa(number), 1) {
			s.writeRow(ctx, s.rowKey(number))
		}
	}
}

// writeRow writes the address of this node to a row. If another node writes the row at the same time, its address stays
// there, which serves joining nodes equally well.
func (s *Seeds) writeRow(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	row, err := s.client.GetRow(ctx, key)
	if err != nil && hemlockplatform.KindOf(err) != hemlockplatform.KindNotFound {
		return
	}
	value, err := json.Marshal(seedRow{Address: s.self})
	if err != nil {
		return
	}
	_, err = s.client.Transact(ctx, []hemlockplatform.Write{{Key: key, IfVersion: row.Version, Value: value}})
	if err != nil {
		s.log.V(1).Info("seed row not written", "row", key, "error", err.Error())
	}
}
