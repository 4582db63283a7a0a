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
	// announcementExpiry is how long a target counts as available after its latest announcement. Targets announce themselves
	// every second.
	announcementExpiry = 3 * time.Second
	// crashProbeTimeout limits each of the connection attempts that distinguish a crashed target from a broken connection.
	crashProbeTimeout = 200 * time.Millisecond
)

// crashProbeDelays are the delays before each connection attempt, counted from the end of the previous one. There are several
// attempts because a process that is exiting may still accept connections after some of its connections have broken, on a
// busy host for some milliseconds.
var crashProbeDelays = []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond}

// TargetHealth tracks the state of the local target from its announcements, its drain notice and the connections to it. The
// health endpoint of the target is not used, because its result may be late or wrong.
type TargetHealth struct {
	configuration *hemlockconfiguration.Holder
	admission     *hemlockadmission.Controller[*waiter]
	client        *hemlocktarget.Client
	suspects      *hemlocksuspect.Table
	gossipDriver  *hemlockgossip.Driver
	log           logr.Logger

	// transitionMutex is locked during a change of the state and the updates of admission and gossip that follow from it.
	// Concurrent changes thus cannot leave admission or gossip with an older state. It is locked before mutex.
	transitionMutex sync.Mutex
	mutex           sync.Mutex
	// service is empty until the first announcement.
	service string
	address string
	slots   int
	// state is Joining while the target is unavailable, Ready, or Leaving after the drain notice.
	state         hemlockmember.State
	lastAnnounced time.Time
	// drainedAddress is the address of the target that sent the drain notice. Later announcements of that process are
	// ignored, even when its successor on another port is ready.
	drainedAddress string
	// drainedInstance is the instance that sent the drain notice; another instance at the address is a new process.
	drainedInstance string
	// instance is the instance in the latest announcement that was not ignored.
	instance string
	// drainedLastAnnounced is the time of the last announcement from drainedAddress.
	drainedLastAnnounced time.Time
	// probing is set while probeForCrash runs.
	probing bool
}

// TargetState is the local target in the state dump.
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

func (h *TargetHealth) isDraining() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.state == hemlockmember.Leaving
}

// HandleAnnouncement updates the state of the target from an announcement.
func (h *TargetHealth) HandleAnnouncement(a hemlocktarget.Announcement) error {
	h.transitionMutex.Lock()
	defer h.transitionMutex.Unlock()
	h.mutex.Lock()
	if h.isFromDrained(a) && time.Since(h.drainedLastAnnounced) < announcementExpiry {
		// A draining target continues to announce itself until it stops. An announcement after a gap of announcementExpiry
		// comes from another process.
		h.drainedLastAnnounced = time.Now()
		if h.state == hemlockmember.Leaving {
			h.lastAnnounced = h.drainedLastAnnounced
		}
		h.mutex.Unlock()
		return nil
	}
	if h.drainedAddress == a.Address {
		h.drainedAddress = ""
	}
	// If the target crashed and restarted before this node tried to connect, only the new instance shows the crash.
	restarted := h.state == hemlockmember.Ready && h.instance != "" && a.Instance != "" && a.Instance != h.instance
	slots := h.declaredSlots(a)
	changed := h.state != hemlockmember.Ready || h.service != a.Service || h.slots != slots || h.address != a.Address
	h.service, h.address, h.instance, h.slots, h.lastAnnounced = a.Service, a.Address, a.Instance, slots, time.Now()
	h.state = hemlockmember.Ready
	h.mutex.Unlock()
	if restarted {
		h.log.Info("target lost", "service", a.Service, "cause", "another instance", "instance", a.Instance)
		h.disseminate(h.suspects.TargetCrashed(time.Now()))
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
	h.gossipDriver.Announce(a.Service, hemlockmember.Ready, slots)
	return nil
}

// isFromDrained reports whether an announcement comes from the process that has sent the drain notice. The caller must have
// locked the mutex.
func (h *TargetHealth) isFromDrained(a hemlocktarget.Announcement) bool {
	return h.drainedAddress == a.Address && (a.Instance == "" || a.Instance == h.drainedInstance)
}

// declaredSlots returns the number of slots in the announcement, or the number in the configuration of the service if that
// is lower.
func (h *TargetHealth) declaredSlots(a hemlocktarget.Announcement) int {
	service, known := h.configuration.Current().Services[a.Service]
	if !known {
		return a.Slots
	}
	return min(a.Slots, service.Slots)
}

// HandleDrain handles the drain notice of the target: no new requests are sent to it.
func (h *TargetHealth) HandleDrain() {
	h.transitionMutex.Lock()
	defer h.transitionMutex.Unlock()
	h.mutex.Lock()
	if h.state == hemlockmember.Leaving {
		h.mutex.Unlock()
		return
	}
	h.state, h.drainedAddress, h.drainedLastAnnounced = hemlockmember.Leaving, h.address, time.Now()
	h.drainedInstance = h.instance
	service, slots := h.service, h.slots
	h.mutex.Unlock()
	h.log.Info("target leaving", "service", service)
	h.gossipDriver.Announce(service, hemlockmember.Leaving, slots)
}

// checkForCrash is called with the refusal of a failed execution. After a failure of the connection it makes several
// connection attempts to the target in the background. If one of them fails, the target counts as crashed.
func (h *TargetHealth) checkForCrash(refusal *hemlockcall.Refusal) {
	if refusal.Reason != hemlockcall.ReasonConnection {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.probing || h.state == hemlockmember.Joining {
		return
	}
	h.probing = true
	go h.probeForCrash(h.address)
}

func (h *TargetHealth) probeForCrash(address string) {
	err := dialAll(address)
	h.mutex.Lock()
	h.probing = false
	crashed := err != nil && h.address == address && h.state != hemlockmember.Joining
	h.mutex.Unlock()
	if crashed {
		h.markUnavailable("crashed")
	}
}

// dialAll makes a connection attempt after each of the crashProbeDelays and returns the first error, or nil if all
// attempts succeed.
func dialAll(address string) error {
	for _, wait := range crashProbeDelays {
		time.Sleep(wait)
		connection, err := net.DialTimeout("tcp", address, crashProbeTimeout)
		if err != nil {
			return err
		}
		_ = connection.Close()
	}
	return nil
}

// markUnavailable sets the state of the target to Joining and the slots in admission to 0, and announces this. After a
// crash, the requests that were in flight at the target become suspects, unless the target was leaving.
func (h *TargetHealth) markUnavailable(cause string) {
	h.transitionMutex.Lock()
	defer h.transitionMutex.Unlock()
	h.mutex.Lock()
	wasLeaving := h.state == hemlockmember.Leaving
	h.state = hemlockmember.Joining
	service := h.service
	h.mutex.Unlock()
	now := time.Now()
	h.admission.SetSlots(now, 0)
	h.log.Info("target lost", "service", service, "cause", cause)
	h.gossipDriver.Announce(service, hemlockmember.Joining, 0)
	if cause == "crashed" && !wasLeaving {
		h.disseminate(h.suspects.TargetCrashed(now))
	}
}

func (h *TargetHealth) disseminate(records []hemlocksuspect.Record) {
	if len(records) > 0 {
		h.gossipDriver.DisseminateCrashRecords(records)
	}
}

// watchAnnouncements calls markUnavailable when the announcements of the target have stopped. It runs until the context
// ends.
func (h *TargetHealth) watchAnnouncements(ctx context.Context) {
	ticker := time.NewTicker(announcementExpiry / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			h.mutex.Lock()
			expired := h.state != hemlockmember.Joining && now.Sub(h.lastAnnounced) > announcementExpiry
			h.mutex.Unlock()
			if expired {
				h.markUnavailable("no announcement")
			}
		}
	}
}

// State returns the local target for the state dump.
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
	if !h.lastAnnounced.IsZero() {
		state.SinceAnnouncement = time.Since(h.lastAnnounced).Round(time.Millisecond).String()
	}
	return state
}

func (h *TargetHealth) serviceName() string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.service
}
