package hemlockpeer

import (
	"context"
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockhollow/hemlockpeer/hemlockwire"
	"hemlockhollow/hemlockquota"
)

func newQuotaRequest() hemlockquota.Request {
	return hemlockquota.Request{From: "10.0.0.1:7400", Level: 1, Partition: 2, Partitions: 3, Clock: 1 << 60, Lent: hemlockquota.One / 7,
		Lease: time.Second, Population: 7, Reclaimed: true, Number: 6, Renews: 4,
		DemandsOnly: true, Demands: []hemlockquota.Demand{
			{Organisation: "a", Wanted: 3, Returned: 1, Lent: hemlockquota.One}, {Organisation: "b"}}}
}

// Guards against a field of a quota request or answer that is lost or changed between two nodes.
func TestQuotaRequestsArriveUnchanged(t *testing.T) {
	want := hemlockquota.Answer{Accepted: true, Population: 9, Clock: 5, Number: 6, Grants: []hemlockquota.Grant{
		{Organisation: "a", Granted: 2, Wait: 40 * time.Millisecond}}}
	var received hemlockquota.Request
	_, address := startServer(t, invokerFunc(echoDigest), WithQuotaHandler(
		func(_ context.Context, r hemlockquota.Request) (hemlockquota.Answer, error) {
			received = r
			return want, nil
		}))
	answer, err := startClient(t).RequestQuota(context.Background(), address, newQuotaRequest())
	noError(t, err)
	if !reflect.DeepEqual(answer, want) || !reflect.DeepEqual(received, newQuotaRequest()) {
		t.Errorf("received %+v, answered %+v", received, answer)
	}
}

// Guards against a loan that is reclaimed although its pool may still count it: only a refused connection means that the process has ended.
func TestOnlyARefusedConnectionEndsALoan(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	address := listener.Addr().String()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = connection.Read(make([]byte, 1)) // a connection may be reset before it is open otherwise
			_ = connection.(*net.TCPConn).SetLinger(0)
			_ = connection.Close() // resets the connection
		}
	}()
	client := startClient(t)
	_, err = client.RequestQuota(context.Background(), address, newQuotaRequest())
	if err == nil || IsNotListening(err) || IsUnsent(err) {
		t.Errorf("reset connection: %v", err)
	}
	noError(t, listener.Close())
	if _, err = client.RequestQuota(context.Background(), address, newQuotaRequest()); !IsNotListening(err) {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against a malformed quota message that is accepted: fractions out of range, names that are empty, too long or repeated, and
// numbers that overflow.
func FuzzQuota(f *testing.F) {
	encoded, err := proto.Marshal(encodeQuotaRequest(newQuotaRequest()))
	noError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, input []byte) {
		var wire hemlockwire.QuotaRequest
		if proto.Unmarshal(input, &wire) == nil {
			if r, err := decodeQuotaRequest(&wire); err == nil {
				checkQuotaRequest(t, r)
			}
		}
		var answer hemlockwire.QuotaAnswer
		if proto.Unmarshal(input, &answer) == nil {
			if a, err := decodeQuotaAnswer(&answer); err == nil {
				for _, g := range a.Grants {
					if g.Organisation == "" || g.Granted < 0 || g.Granted > maxQuotaTokens || g.Wait < 0 {
						t.Fatalf("accepted %+v", a)
					}
				}
			}
		}
	})
}

func checkQuotaRequest(t *testing.T, r hemlockquota.Request) {
	t.Helper()
	if r.From == "" || r.Level < 0 || r.Level > 1 || r.Partition < 0 || r.Partition >= r.Partitions || r.Lent > hemlockquota.One ||
		r.Lease < 0 || r.Population < 0 {
		t.Fatalf("accepted %+v", r)
	}
	names := map[string]bool{"": true}
	for _, d := range r.Demands {
		if names[d.Organisation] || d.Lent > hemlockquota.One || min(d.Wanted, d.Returned) < 0 || max(d.Wanted, d.Returned) > maxQuotaTokens {
			t.Fatalf("accepted %+v", r)
		}
		names[d.Organisation] = true
	}
	if again, err := decodeQuotaRequest(encodeQuotaRequest(r)); err != nil || !reflect.DeepEqual(again, r) {
		t.Fatalf("%+v is decoded as %+v, %v", r, again, err)
	}
}
