package fleetgrpc

import (
	"context"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/adapter/grpcpanic"
	"sassafrasreach/internal/port"
)

// oddTexts are values of strings; some are names that the controller knows.
var oddTexts = []string{"", "region-0", "zone-1", addressOf(0), addressOf(1), "core-2", "svc", "i-1", "x", string(make([]byte, 300))}

// fill sets some fields of a message to values that a sound sender doesn't send.
func fill(r *rand.Rand, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		switch {
		case r.IntN(3) == 0 || depth == 0 && fd.Message() != nil:
		case fd.IsList():
			list := m.Mutable(fd).List()
			for range r.IntN(4) {
				if fd.Message() != nil {
					fill(r, list.AppendMutable().Message(), depth-1)
				} else {
					list.Append(oddValue(r, fd))
				}
			}
		case fd.Message() != nil:
			fill(r, m.Mutable(fd).Message(), depth-1)
		default:
			m.Set(fd, oddValue(r, fd))
		}
	}
}

func oddValue(r *rand.Rand, fd protoreflect.FieldDescriptor) protoreflect.Value {
	numbers := []int64{0, 1, -1, 50, math.MaxInt64, math.MinInt64, math.MaxInt32, 1 << 40}
	n := numbers[r.IntN(len(numbers))]
	switch fd.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(r.IntN(2) == 0)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(n)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64([]float64{0, -1, math.NaN(), math.Inf(1), 1e300}[r.IntN(5)])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(make([]byte, r.IntN(40)))
	default:
		return protoreflect.ValueOfString(oddTexts[r.IntN(len(oddTexts))])
	}
}

// TestOddMessages sends a controller messages whose fields have odd values, and some
// cut ones. It guards against a message that ends the process of its receiver.
func TestOddMessages(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startCalmFleet(ctx, t, 3, none)
	go f.announce(ctx, 6)
	time.Sleep(2 * time.Second) // regions are dispatched
	server := &Server{service: f.controllers[0], clock: port.ClockFunc(time.Now)}
	r := rand.New(rand.NewPCG(7, 7))
	call, stop := context.WithCancel(ctx)
	stop() // a call that would wait returns at once
	for range 4000 {
		prepare, accept, learn := &fleetv1.PrepareRequest{}, &fleetv1.AcceptRequest{}, &fleetv1.LearnRequest{}
		exchange, watch := &fleetv1.ExchangeRequest{}, &fleetv1.WatchRequest{}
		acquire, release := &fleetv1.AcquireRequest{}, &fleetv1.ReleaseRequest{}
		for _, m := range []proto.Message{prepare, accept, learn, exchange, watch, acquire, release} {
			fill(r, m.ProtoReflect(), 3)
		}
		_, _ = server.Exchange(call, exchange)
		_, _ = server.Watch(call, watch)
		got, err := server.Acquire(call, acquire)
		if err == nil && got.GetGrant() != "" && len(release.GetReleased()) > 0 {
			release.Released[0].Grant, release.Released[0].Region = got.GetGrant(), acquire.GetRegion()
		}
		_, _ = server.Release(call, release)
		_, _ = server.Prepare(call, prepare)
		_, _ = server.Accept(call, accept)
		_, _ = server.Learn(call, learn)
	}
	f.controllers[0].Nearest("zone-0", "region-0")
	is.True(len(f.controllers[0].Gauges()) > 0) // no lock is left held
}

// panicking is a service whose handlers panic.
type panicking struct{ port.ControllerService }

// TestPanicStaysInItsCall guards against a panic of one handler that ends the process.
func TestPanicStaysInItsCall(t *testing.T) {
	is := is.New(t)
	server := NewServer(panicking{}, port.ClockFunc(time.Now), grpcpanic.Options(slog.New(slog.NewTextHandler(io.Discard, nil)))...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client, err := NewClient(listener.Addr().String(), nil, port.ClockFunc(time.Now))
	is.NoErr(err)
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err = client.Exchange(ctx, port.ExchangeRequest{})
		cancel()
		is.Equal(status.Code(err), codes.Internal)
	}
}
