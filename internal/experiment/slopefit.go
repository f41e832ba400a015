package experiment

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a linear regression through measured points, with standard errors.
type Slope struct {
	Name string
	// Unit is the unit of the measured values. SizeUnit describes one unit of size.
	Unit, SizeUnit string
	// PerUnit and PerUnitError are the slope, the increase for one unit of size, and its
	// standard error.
	PerUnit, PerUnitError float64
	// Intercept and InterceptError are the value at size 0 and its standard error.
	Intercept, InterceptError float64
	// Sizes are the measured sizes.
	Sizes []float64
}

// point is one measurement.
type point struct{ size, value float64 }

// fit returns the linear regression of points of at least four sizes.
func fit(name, unit, sizeUnit string, points []point) (Slope, error) {
	var x, y, sizes []float64
	seen := make(map[float64]bool)
	for _, p := range points {
		x = append(x, p.size)
		y = append(y, p.value)
		if !seen[p.size] {
			seen[p.size] = true
			sizes = append(sizes, p.size)
		}
	}
	if len(sizes) < minSlopeSizes {
		return Slope{}, fmt.Errorf("slope %s: %d sizes, want %d", name, len(sizes), minSlopeSizes)
	}
	intercept, perUnit := stat.LinearRegression(x, y, nil, false)
	residuals := 0.0
	for i := range x {
		r := y[i] - intercept - perUnit*x[i]
		residuals += r * r
	}
	n := float64(len(x))
	mean, variance := stat.PopMeanVariance(x, nil)
	residualError := math.Sqrt(residuals / (n - 2))
	perUnitError := residualError / math.Sqrt(n*variance)
	interceptError := residualError * math.Sqrt(1/n+mean*mean/(n*variance))
	return Slope{Name: name, Unit: unit, SizeUnit: sizeUnit, PerUnit: perUnit, PerUnitError: perUnitError, Intercept: intercept, InterceptError: interceptError, Sizes: sizes}, nil
}

// minSlopeSizes is the minimum number of sizes for a regression.
const minSlopeSizes = 4

// processCPUTime is the CPU time of all threads of this process.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// cpuMicroseconds is the CPU time that work takes, in microseconds.
func cpuMicroseconds(work func() error) (float64, error) {
	before, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := processCPUTime()
	return float64((after - before).Nanoseconds()) / 1000, err
}

// heapGrowth is the heap and stack memory that the result of build occupies, in bytes.
func heapGrowth(build func() (any, error)) (float64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	result, err := build()
	if err != nil {
		return 0, err
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) + float64(after.StackInuse) - float64(before.HeapAlloc) - float64(before.StackInuse), nil
}
