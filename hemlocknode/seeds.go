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
	seedRows        = 8
	seedPrefix      = "seed/"
	seedRefresh     = time.Minute
	seedRetry       = 5 * time.Second
	seedListLimit   = 256
	seedCallTimeout = time.Second
)

type seedRow struct {
	Address string `json:"address"`
}

// Seeds keeps the first peers' addresses in the table: a node that starts finds the others there. The rows may be
// stale; a node that follows one to a lost peer only loses time.
type Seeds struct {
	client *hemlockplatform.Client
	gossip *hemlockmember.Gossip
	duties *Duties
	self   string
	zone   string
	log    logr.Logger
}

// run joins through the table at start, retries while this node is alone, and refreshes the rows that are its duty.
func (s *Seeds) run(ctx context.Context) {
	if s.client == nil {
		return
	}
	s.write(ctx, s.row(ownSeedRow(s.self)))
	wait := time.Duration(0)
	for hemlockcall.Sleep(ctx, wait) {
		if s.alone() {
			s.read(ctx)
			wait = seedRetry
			continue
		}
		s.refresh(ctx)
		wait = seedRefresh
	}
}

func ownSeedRow(address string) int {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(address))
	return int(digest.Sum32() % seedRows)
}

func (s *Seeds) row(number int) string {
	return seedPrefix + s.zone + "/" + strconv.Itoa(number)
}

func (s *Seeds) alone() bool {
	for _, m := range s.gossip.View().Members() {
		if m.Address != s.self && m.State != hemlockmember.Dead {
			return false
		}
	}
	return true
}

func (s *Seeds) read(ctx context.Context) {
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

func (s *Seeds) refresh(ctx context.Context) {
	for number := range seedRows {
		if s.duties.holds("seed/"+strconv.Itoa(number), 1) {
			s.write(ctx, s.row(number))
		}
	}
}

// write puts the own address into a row. A write that loses a race leaves another live node's address there.
func (s *Seeds) write(ctx context.Context, key string) {
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
