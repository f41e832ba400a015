package experiment

import (
	"context"
	"fmt"
)

var slopesExperiment = Experiment{
	Name:    "slopes",
	Summary: "cost of one more query, subrequest, batch, item, member, leaf, service and change",
	Target:  "each slope over at least 4 sizes with a standard error of at most a quarter; a subrequest in batches of 20 at most 0.1 of one over net/http",
	Run:     runSlopes,
}

// slopeRepeats is the number of measurements at each size.
const slopeRepeats = 3

// slopeSource measures one slope.
type slopeSource struct {
	name, unit, sizeUnit string
	sizes                []int
	// prepare returns the function that measures at a size and the one that cleans up.
	prepare func(ctx context.Context) (value func(size int) (float64, error), cleanup func(), err error)
}

// slopeSources lists the measured slopes in the order of the capacity page.
func slopeSources() []slopeSource {
	return []slopeSource{
		querySource, entryShardSource, httpSource, upstreamSource, upstreamBytesSource,
		batchSource, scatteredSource, batchBytesSource, streamMemorySource,
		mergeSource, memberSource, leafMemorySource, leafChangeSource, pollSource,
		serviceMemorySource, changeSource,
	}
}

// MeasureSlopes measures all slopes.
func MeasureSlopes(ctx context.Context) ([]Slope, error) {
	var out []Slope
	for _, source := range slopeSources() {
		s, err := source.measure(ctx)
		if err != nil {
			return nil, fmt.Errorf("slope %s: %w", source.name, err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (s slopeSource) measure(ctx context.Context) (Slope, error) {
	value, cleanup, err := s.prepare(ctx)
	if err != nil {
		return Slope{}, err
	}
	defer cleanup()
	// The first measurement initialises what is created on demand.
	if _, err := value(s.sizes[0]); err != nil {
		return Slope{}, err
	}
	var points []point
	for range slopeRepeats {
		for _, size := range s.sizes {
			v, err := value(size)
			if err != nil {
				return Slope{}, err
			}
			if ctx.Err() != nil {
				return Slope{}, ctx.Err()
			}
			points = append(points, point{float64(size), v})
		}
	}
	return fit(s.name, s.unit, s.sizeUnit, points)
}

// maxSlopeError is the largest standard error of a usable slope, as a share of the
// slope.
const maxSlopeError = 0.25

func runSlopes(ctx context.Context, _ uint64) (Result, error) {
	slopes, err := MeasureSlopes(ctx)
	if err != nil {
		return Result{}, err
	}
	var result Result
	byName := make(map[string]Slope)
	for _, s := range slopes {
		byName[s.Name] = s
		result.Policy = append(result.Policy,
			Figure{s.Name + "_each", s.PerUnit}, Figure{s.Name + "_each_error", s.PerUnitError},
			Figure{s.Name + "_base", s.Intercept}, Figure{s.Name + "_base_error", s.InterceptError})
		result.Checks = append(result.Checks, AtMost(s.Name+"_relative_error", s.PerUnitError/s.PerUnit, maxSlopeError))
	}
	batch, direct := byName[batchSource.name], byName[httpSource.name]
	result.Checks = append(result.Checks, AtMost("batch_of_20_over_net_http", batch.perUnitInBatch(20)/direct.PerUnit, 0.1))
	return result, nil
}

// perUnitInBatch is the value per unit when size units share one base cost.
func (s Slope) perUnitInBatch(size float64) float64 { return s.PerUnit + s.Intercept/size }
