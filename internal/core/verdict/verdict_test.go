package verdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
)

func TestOf(t *testing.T) {
	notRun := verdict.NewError(verdict.NotRun, verdict.ReasonShed, nil)
	cases := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"nil", nil, verdict.Ran},
		{"direct", notRun, verdict.NotRun},
		{"wrapped", fmt.Errorf("place: %w", notRun), verdict.NotRun},
		{"text only", errors.New(notRun.Error()), verdict.MayHaveRun},
		{"zero value", &verdict.Error{}, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(verdict.Of(c.err), c.want)
		})
	}
}

func TestParseRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		t.Run(v.String(), func(t *testing.T) {
			is := is.New(t)
			got, err := verdict.Parse(v.String())
			is.NoErr(err)
			is.Equal(got, v)
		})
	}
	got, err := verdict.Parse("ran?")
	is := is.New(t)
	is.True(errors.Is(err, verdict.ErrUnknownVerdict))
	is.Equal(got, verdict.MayHaveRun)
}
