package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/note"
	"github.com/hickorydock/hickorydock/internal/protocol/platform"
)

// controlCause is a cause of control work: the cost of one event and the number of
// events per second.
type controlCause struct {
	name      string
	perSecond float64
	// micros is the CPU time of an event, bytes its size on the network.
	micros, bytes float64
}

func (c controlCause) coreShare() float64      { return c.perSecond * c.micros / microPerSecond }
func (c controlCause) bytesPerSecond() float64 { return c.perSecond * c.bytes }

// eventCost is the CPU time of one event in microseconds, the mean of controlEvents.
func eventCost(event func(i int) error) (float64, error) {
	used, err := cpuMicroseconds(func() error {
		for i := range controlEvents {
			if err := event(i); err != nil {
				return err
			}
		}
		return nil
	})
	return used / controlEvents, err
}

var errChangeTimeout = errors.New("a change was not applied within its time limit")

// await waits until a change is applied or controlEventTimeout has passed.
func await(ctx context.Context, applied func() bool) error {
	limit := time.Now().Add(controlEventTimeout)
	for !applied() {
		if time.Now().After(limit) {
			return errChangeTimeout
		}
		if !sleepUntil(ctx, time.Now().Add(100*time.Microsecond)) {
			return ctx.Err()
		}
	}
	return nil
}

// configurationCause changes the catalogue on the stand-in platform.
func (c *controlState) configurationCause(ctx context.Context) (controlCause, error) {
	cause := controlCause{name: "configuration", perSecond: designedFor.changes / secondsPerDay}
	object, err := c.client.Get(ctx, platform.KindCatalogue, platform.CatalogueName)
	if err != nil {
		return cause, err
	}
	cause.micros, err = eventCost(func(int) error {
		var next note.Catalogue
		if err := json.Unmarshal(object.Value, &next); err != nil {
			return err
		}
		next.Revision++
		if object.Value, err = json.Marshal(next); err != nil {
			return err
		}
		cause.bytes = float64(len(object.Value))
		if object, err = c.client.Update(ctx, object); err != nil {
			return err
		}
		return await(ctx, func() bool { return c.services.Revision() == next.Revision })
	})
	return cause, err
}

// vmCause adds VMs to the platform's list.
func (c *controlState) vmCause(ctx context.Context) (controlCause, error) {
	// Leafs are assumed to be replaced as often as nodes, in proportion.
	events := 2 * (designedFor.replaced + designedFor.failed) * (1 + float64(designedFor.leafs)/float64(designedFor.nodes))
	cause := controlCause{name: "vm_list", perSecond: events / secondsPerDay}
	var err error
	cause.micros, err = eventCost(func(i int) error {
		vm := controlVMs()[0]
		vm.ID = fmt.Sprintf("late-%d", i)
		body, err := json.Marshal(vm)
		if err != nil {
			return err
		}
		cause.bytes = float64(len(body))
		before := len(*c.latest.Load())
		if _, err := c.client.Create(ctx, platform.KindVM, vm.ID, body); err != nil {
			return err
		}
		return await(ctx, func() bool { return len(*c.latest.Load()) > before })
	})
	return cause, err
}

// assignmentCause recomputes the owners of all leafs after a change of the members.
func (c *controlState) assignmentCause() (controlCause, error) {
	cause := controlCause{name: "assignment", perSecond: 2 * (designedFor.replaced + designedFor.failed) / secondsPerDay}
	var err error
	cause.micros, err = eventCost(func(int) error { return c.assign() })
	return cause, err
}

// versionCause changes leafs' manifests; every leaf gets a new version once in
// controlVersionInterval.
func (c *controlState) versionCause() (controlCause, error) {
	cause := controlCause{name: "manifest_change", perSecond: float64(designedFor.leafs) / controlVersionInterval.Seconds()}
	body, err := json.Marshal(controlManifest(1, 1, 1, 2))
	if err != nil {
		return cause, err
	}
	cause.bytes = float64(len(body))
	cause.micros, err = eventCost(func(i int) error {
		c.shards.SetManifest(controlLeaf(1, i, 0), controlManifest(1, i, 0, 2), time.Now())
		return nil
	})
	return cause, err
}

// pollCause reads the manifests of this node's leafs.
func (c *controlState) pollCause(ctx context.Context, interval time.Duration) (controlCause, error) {
	leafs := designedFor.owners * float64(designedFor.leafs) / float64(designedFor.nodes)
	cause := controlCause{name: "manifest_poll", perSecond: leafs / interval.Seconds()}
	l, err := startManifestLeaf(controlManifest(1, 1, 1, 1))
	if err != nil {
		return cause, err
	}
	defer l.close()
	cause.micros, cause.bytes, err = pollCost(ctx, l)
	return cause, err
}

// measureCauses measures all causes. Polls at the default interval are returned
// separately.
func (c *controlState) measureCauses(ctx context.Context) (all []controlCause, defaultPolls controlCause, err error) {
	measures := []func() (controlCause, error){
		func() (controlCause, error) { return c.configurationCause(ctx) },
		func() (controlCause, error) { return c.vmCause(ctx) },
		c.assignmentCause,
		c.versionCause,
		func() (controlCause, error) { return c.pollCause(ctx, controlPollInterval) },
	}
	for _, measure := range measures {
		cause, err := measure()
		if err != nil {
			return nil, controlCause{}, fmt.Errorf("%s: %w", cause.name, err)
		}
		all = append(all, cause)
	}
	defaultPolls = all[len(all)-1]
	defaultPolls.perSecond *= controlPollInterval.Seconds() / controlDefaultPollInterval.Seconds()
	return all, defaultPolls, nil
}

func runControlSize(ctx context.Context, _ uint64) (Result, error) {
	p, err := fillPlatform(ctx)
	if err != nil {
		return Result{}, err
	}
	var c *controlState
	heap, err := heapGrowth(func() (any, error) {
		var err error
		c, err = startControl(ctx, p)
		return c, err
	})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return Result{}, err
	}
	causes, defaultPolls, err := c.measureCauses(ctx)
	if err != nil {
		return Result{}, err
	}
	return controlResult(heap, causes, defaultPolls), nil
}

func controlResult(heap float64, causes []controlCause, defaultPolls controlCause) Result {
	const mega = 1e6
	result := Result{
		Baseline: []Figure{{"default_polls_core_share", defaultPolls.coreShare()}, {"default_polls_bytes_per_s", defaultPolls.bytesPerSecond()}},
		Policy:   []Figure{{"memory_mb", heap / mega}},
	}
	coreShare, bytes := 0.0, 0.0
	for _, cause := range causes {
		coreShare += cause.coreShare()
		bytes += cause.bytesPerSecond()
		result.Policy = append(result.Policy,
			Figure{cause.name + "_per_s", cause.perSecond}, Figure{cause.name + "_us", cause.micros}, Figure{cause.name + "_bytes", cause.bytes},
			Figure{cause.name + "_core_share", cause.coreShare()}, Figure{cause.name + "_bytes_per_s", cause.bytesPerSecond()})
	}
	result.Checks = []Check{
		AtMost("memory_mb", heap/mega, controlMemoryMB),
		AtMost("core_share", coreShare, controlCoreShare),
		AtMost("bytes_per_s", bytes, controlBytesPerSecond),
	}
	return result
}
