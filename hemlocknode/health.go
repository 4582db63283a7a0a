package hemlocknode

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockgossip"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocksuspect"
	"hemlockhollow/hemlocktarget"
)

const (
	// announcementExpiry is how long a target counts as present without an announcement; targets announce every second.
	announcementExpiry = 3 * time.Second
	// crashProbeTimeout bounds the connection attempt that tells a crashed target from a broken connection.
	crashProbeTimeout = 200 * time.Millisecond
)

// crashProbePauses are the pauses before the connection attempts. A process that is ending still accepts connections after
// the first ones have broken, on a busy host for some milliseconds.
var crashProbePauses = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// TargetHealth is what this node knows of its local target. The target's own announcements, its drain notice and the
// connections to it decide; its health endpoint is not asked, because it lags or misleads.
type TargetHealth struct {
	configuration *hemlockconfiguration.Holder
	admission     *hemlockadmission.Controller[*waiter]
	client        *hemlocktarget.Client
	suspects      *hemlocksuspect.Table
	announcer     *hemlockgossip.Driver
	log           logr.Logger

	// changes is held over a change of state and what follows from it in admission and gossip, so that these always
	// end at the last state. It is taken before mutex.
	changes sync.Mutex
	mutex   sync.Mutex
	// service is empty until the first announcement.
	service   string
	address   string
	slots     int
	state     hemlockmember.State
	announced time.Time
	// drained is the address that sent the drain notice; its later announcements do not count, not even when its
	// successor on another port is ready.
	drained string
	// drainedInstance is the instance that was drained; another instance at the address is a new process.
	drainedInstance string
	// instance is that of the latest accepted announcement.
	instance string
	// drainedHeard is the time of the last announcement of the drained address.
	drainedHeard time.Time
	probing      bool
}

// TargetState is the part of the state dump about the local target.
type TargetState struct {
	Service           string `json:"service"`
	Address           string `json:"address"`
	State             string `json:"state"`
	Slots             int    `json:"slots"`
	SinceAnnouncement string `json:"announced-before"`
	Draining          bool   `json:"draining"`
}

func (h *TargetHealth) serves(service string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.service == service && h.state == hemlockmember.Ready
}

func (h *TargetHealth) draining() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state == hemlockmember.Leaving
}

// HandleAnnouncement takes in an announcement of the target.
func (h *TargetHealth) HandleAnnouncement(a hemlocktarget.Announcement) error {
	h.changes.Lock()
	defer h.changes.Unlock()
	h.mutex.Lock()
	if h.isDrained(a) && time.Since(h.drainedHeard) < announcementExpiry {
		// A draining target goes on announcing until it stops. After a pause it is another process.
		h.drainedHeard = time.Now()
		if h.state == hemlockmember.Leaving {
			h.announced = h.drainedHeard
		}
		h.mutex.Unlock()
		return nil
	}
	if h.drained == a.Address {
		h.drained = ""
	}
	// A target that crashed and was restarted faster than its node looked has only its announcement to show it.
	replaced := h.state == hemlockmember.Ready && h.instance != "" && a.Instance != "" && a.Instance != h.instance
	slots := h.declaredSlots(a)
	changed := h.state != hemlockmember.Ready || h.service != a.Service || h.slots != slots || h.address != a.Address
	h.service, h.address, h.instance, h.slots, h.announced = a.Service, a.Address, a.Instance, slots, time.Now()
	h.state = hemlockmember.Ready
	h.mutex.Unlock()
	if replaced {
		h.log.Info("target lost", "service", a.Service, "cause", "another instance", "instance", a.Instance)
		h.spread(h.suspects.TargetDied(time.Now()))
	}
	if service, known := h.configuration.Current().Services[a.Service]; known {
		h.client.SetMaxConnections(service.Connections)
	}
	if !changed {
		return nil
	}
	h.client.SetAddress(a.Address)
	h.admission.SetSlots(time.Now(), slots)
	h.log.Info("target ready", "service", a.Service, "address", a.Address, "slots", slots)
	h.announcer.Announce(a.Service, hemlockmember.Ready, slots)
	return nil
}

// isDrained reports whether an announcement comes from the process that has sent the drain notice. The mutex is held.
func (h *TargetHealth) isDrained(a hemlocktarget.Announcement) bool {
	return h.drained == a.Address && (a.Instance == "" || a.Instance == h.drainedInstance)
}

// declaredSlots returns the slots of the service file, or fewer when the target announces fewer.
func (h *TargetHealth) declaredSlots(a hemlocktarget.Announcement) int {
	service, known := h.configuration.Current().Services[a.Service]
	if !known {
		return a.Slots
	}
	return min(a.Slots, service.Slots)
}

// HandleDrain takes in the drain notice of the target: no new work is sent to it.
func (h *TargetHealth) HandleDrain() {
	h.changes.Lock()
	defer h.changes.Unlock()
	h.mutex.Lock()
	if h.state == hemlockmember.Leaving {
		h.mutex.Unlock()
		return
	}
	h.state, h.drained, h.drainedHeard = hemlockmember.Leaving, h.address, time.Now()
	h.drainedInstance = h.instance
	service, slots := h.service, h.slots
	h.mutex.Unlock()
	h.log.Info("target leaving", "service", service)
	h.announcer.Announce(service, hemlockmember.Leaving, slots)
}

// observe takes in a failed run. A broken connection is followed by a connection attempt: if that is refused, the
// target has crashed.
func (h *TargetHealth) observe(refusal *hemlockcall.Refusal) {
	if refusal.Reason != hemlockcall.ReasonConnection {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.probing || h.state == hemlockmember.Joining {
		return
	}
	h.probing = true
	go h.probe(h.address)
}

func (h *TargetHealth) probe(address string) {
	err := dialRepeatedly(address)
	h.mutex.Lock()
	h.probing = false
	gone := err != nil && h.address == address && h.state != hemlockmember.Joining
	h.mutex.Unlock()
	if gone {
		h.lost("crashed")
	}
}

// dialRepeatedly returns the first error of some connection attempts, or nil when all succeed.
func dialRepeatedly(address string) error {
	for _, wait := range crashProbePauses {
		time.Sleep(wait)
		connection, err := net.DialTimeout("tcp", address, crashProbeTimeout)
		if err != nil {
			return err
		}
		_ = connection.Close()
	}
	return nil
}

// lost marks the target as gone. What was in flight at a crash becomes suspect.
func (h *TargetHealth) lost(why string) {
	h.changes.Lock()
	defer h.changes.Unlock()
	h.mutex.Lock()
	wasLeaving := h.state == hemlockmember.Leaving
	h.state = hemlockmember.Joining
	service := h.service
	h.mutex.Unlock()
	now := time.Now()
	h.admission.SetSlots(now, 0)
	h.log.Info("target lost", "service", service, "cause", why)
	h.announcer.Announce(service, hemlockmember.Joining, 0)
	if why == "crashed" && !wasLeaving {
		h.spread(h.suspects.TargetDied(now))
	}
}

func (h *TargetHealth) spread(records []hemlocksuspect.Record) {
	if len(records) > 0 {
		h.announcer.DisseminateCrashes(records)
	}
}

// watch marks a target as lost whose announcements stopped, until the context ends.
func (h *TargetHealth) watch(ctx context.Context) {
	ticker := time.NewTicker(announcementExpiry / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.mutex.Lock()
			silent := h.state != hemlockmember.Joining && now.Sub(h.announced) > announcementExpiry
			h.mutex.Unlock()
			if silent {
				h.lost("no announcement")
			}
		}
	}
}

// State returns the target's part of the state dump.
func (h *TargetHealth) State() TargetState {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	state := TargetState{
		Service:  h.service,
		Address:  h.address,
		State:    h.state.String(),
		Slots:    h.slots,
		Draining: h.state == hemlockmember.Leaving,
	}
	if !h.announced.IsZero() {
		state.SinceAnnouncement = time.Since(h.announced).Round(time.Millisecond).String()
	}
	return state
}

func (h *TargetHealth) serviceName() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.service
}
