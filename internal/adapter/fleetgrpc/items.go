package fleetgrpc

import (
	"context"
	"log/slog"
	"strconv"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	protocodec "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/event"
)

// independentItems are the elements of lists that hold without the others of their
// list. Voters aren't among them: an epoch without one of its voters is another epoch.
var independentItems = map[protoreflect.FullName]bool{}

func init() {
	for _, m := range []proto.Message{
		&fleetv1.Endpoint{}, &fleetv1.Controller{}, &fleetv1.Gateway{}, &fleetv1.Lease{}, &fleetv1.Load{}, &fleetv1.Loan{},
		&fleetv1.Return{}, &fleetv1.Suspicion{}, &fleetv1.Limit{}, &fleetv1.Released{},
	} {
		independentItems[m.ProtoReflect().Descriptor().FullName()] = true
	}
}

// ItemMeter counts the items that were left out of messages.
type ItemMeter interface {
	RecordItemDropped(kind string)
}

// ItemFilter is a codec that leaves out of a message the independent items that can't
// be encoded, such as one with a text that isn't UTF-8, so that the rest is sent. Each
// item is logged once. It is safe for concurrent use.
type ItemFilter struct {
	encoding.CodecV2
	logger *slog.Logger
	meter  ItemMeter

	// mu guards logged, which holds the items that were logged, maxLoggedItems at most.
	mu     sync.Mutex
	logged map[string]bool
}

// maxLoggedItems bounds the items that a process logs.
const maxLoggedItems = 256

// NewItemFilter returns a codec for the clients and the server of a process.
func NewItemFilter(logger *slog.Logger, meter ItemMeter) *ItemFilter {
	return &ItemFilter{CodecV2: encoding.GetCodecV2(protocodec.Name), logger: logger, meter: meter, logged: make(map[string]bool)}
}

// ClientOption makes a client use the codec.
func (f *ItemFilter) ClientOption() grpc.DialOption {
	return grpc.WithDefaultCallOptions(grpc.ForceCodecV2(f))
}

// ServerOption makes a server use the codec.
func (f *ItemFilter) ServerOption() grpc.ServerOption { return grpc.ForceServerCodecV2(f) }

// Marshal implements encoding.CodecV2.
func (f *ItemFilter) Marshal(v any) (mem.BufferSlice, error) {
	out, err := f.CodecV2.Marshal(v)
	m, isMessage := v.(proto.Message)
	if err == nil || !isMessage {
		return out, err
	}
	m = proto.Clone(m)
	f.removeUnencodable(m.ProtoReflect())
	return f.CodecV2.Marshal(m)
}

// removeUnencodable removes the independent items that can't be encoded from the lists
// of a message.
func (f *ItemFilter) removeUnencodable(m protoreflect.Message) {
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !field.IsList() || field.Message() == nil || !independentItems[field.Message().FullName()] {
			return true
		}
		list, kept := v.List(), 0
		for i := range list.Len() {
			item := list.Get(i)
			if _, err := proto.Marshal(item.Message().Interface()); err != nil {
				f.report(field.Message().Name(), item.Message(), err)
				continue
			}
			list.Set(kept, item)
			kept++
		}
		list.Truncate(kept)
		return true
	})
}

func (f *ItemFilter) report(kind protoreflect.Name, item protoreflect.Message, cause error) {
	f.meter.RecordItemDropped(string(kind))
	text := describe(item)
	f.mu.Lock()
	known := f.logged[text] || len(f.logged) >= maxLoggedItems
	if !known {
		f.logged[text] = true
	}
	f.mu.Unlock()
	if !known {
		event.Log(context.Background(), f.logger, event.ItemDropped,
			slog.String("kind", string(kind)), slog.String("item", text), slog.Any("error", cause))
	}
}

// describe names an item by its texts, which don't change when it is sent again.
func describe(item protoreflect.Message) string {
	text := ""
	fields := item.Descriptor().Fields()
	for i := range fields.Len() {
		if field := fields.Get(i); field.Kind() == protoreflect.StringKind && !field.IsList() {
			text += string(field.Name()) + "=" + strconv.QuoteToASCII(item.Get(field).String()) + " "
		}
	}
	return text
}
