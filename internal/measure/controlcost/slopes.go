package main

import (
	"errors"
	"fmt"
	"io"
)

var errNoSlope = errors.New("a slope needs at least two sizes")

// printSlopes prints the growth of each cost per daemon in a place and per
// place, by least squares.
func printSlopes(w io.Writer, costs []cost) error {
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	perPlace := func(c cost) (float64, bool) { return float64(c.perPlace), c.places == 6 }
	places := func(c cost) (float64, bool) { return float64(c.places), c.perPlace == 16 }
	if err := printSlope(w, "daemon in a place, at 6 places", costs, perPlace); err != nil {
		return err
	}
	return printSlope(w, "place, at 16 daemons per place", costs, places)
}

func printSlope(w io.Writer, what string, costs []cost, axis func(cost) (float64, bool)) error {
	values := []struct {
		unit string
		of   func(cost) float64
	}{
		{"messages/s", func(c cost) float64 { return c.messages }},
		{"bytes/s (out and in)", func(c cost) float64 { return c.out + c.in }},
		{"CPU % of a core", func(c cost) float64 { return c.cpuPercent }},
		{"heap KB", func(c cost) float64 { return c.heapKB }},
		{"directory KB", func(c cost) float64 { return c.directoryKB }},
	}
	for _, v := range values {
		var xs, ys []float64
		for _, c := range costs {
			if x, ok := axis(c); ok {
				xs = append(xs, x)
				ys = append(ys, v.of(c))
			}
		}
		slope, err := leastSquares(xs, ys)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "- slope per %s: %.4f %s\n", what, slope, v.unit); err != nil {
			return err
		}
	}
	return nil
}

// leastSquares returns the slope of the least-squares line through the points.
func leastSquares(xs, ys []float64) (float64, error) {
	if len(xs) < 2 {
		return 0, errNoSlope
	}
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx), nil
}
