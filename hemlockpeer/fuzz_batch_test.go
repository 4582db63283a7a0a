package hemlockpeer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// FuzzBatch gives both ends of a Carry stream what a peer sends.
//
// Guards against a malformed parcel that ends the process, and against a call that gets an answer in parts as a whole one.
func FuzzBatch(f *testing.F) {
	for _, batch := range []*hemlockwire.Batch{
		{Parcels: []*hemlockwire.Parcel{{Call: 1, Answer: &hemlockwire.RelayAnswer{Status: 200}, Body: []byte("x")}}},
		{Parcels: []*hemlockwire.Parcel{{Call: 1, More: true}, {Call: 1, Refusal: &hemlockwire.Refusal{Reason: "r"}}}},
		{Parcels: []*hemlockwire.Parcel{{Call: 1, Answer: &hemlockwire.RelayAnswer{Status: 200, Feedback: &hemlockwire.Feedback{
			Loads: []*hemlockwire.ServiceLoad{{Service: "s", LoadPercent: 1 << 31, AgeMilliseconds: 1 << 31}}}}, More: true}}},
		{Parcels: []*hemlockwire.Parcel{{Call: 2, Request: &hemlockwire.RelayRequest{Id: []byte("a"), Priority: 9}, More: true}, {Call: 2}}},
		{Parcels: []*hemlockwire.Parcel{{Probe: probeAsk}, {Cancel: true}, nil}},
	} {
		text, err := proto.Marshal(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var batch hemlockwire.Batch
		if proto.Unmarshal(text, &batch) != nil {
			return
		}
		l := newLink(newWatch(), func() {})
		number, call, _ := l.begin(true)
		err := l.takeAll(batch.GetParcels())
		select {
		case r := <-call.done:
			if r.err == nil && r.answer == nil {
				t.Error("a call ended with nothing")
			}
		default:
		}
		if err == nil {
			l.abandon(number)
		}
		server := NewServer(nil, WithRelayer(hemlockcall.RelayerFunc(func(context.Context, *hemlockcall.RelayRequest) (
			*hemlockcall.RelayResponse, error) {
			return &hemlockcall.RelayResponse{Status: 200}, nil
		})))
		c := &carrier{server: server, out: newOutbox(), running: map[uint64]context.CancelFunc{},
			partial: map[uint64]*partialCall{}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		for _, p := range batch.GetParcels() {
			c.take(ctx, p)
		}
	})
}
