package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field numbers of the protobuf encoding.
const (
	fieldKind         = 1
	fieldFrom         = 2
	fieldSeq          = 3
	fieldDigest       = 4
	fieldSubjectID    = 5
	fieldSubjectStart = 6
	fieldUpdate       = 7
	fieldKnown        = 8

	fieldID         = 1
	fieldAddress    = 2
	fieldZone       = 3
	fieldStart      = 4
	fieldRefutation = 5
	fieldState      = 6
	fieldIsolated   = 7
)

// MaxUpdates bounds the updates, and the hashes, of one message.
const MaxUpdates = 5000

// hashBytes is the size of an encoded hash.
const hashBytes = 4

// ErrMalformed means that the bytes are not a valid message.
var ErrMalformed = errors.New("malformed membership message")

// Append appends the protobuf encoding of m to b.
func (m Message) Append(b []byte) []byte {
	b = appendVarint(b, fieldKind, uint64(m.Kind))
	b = appendString(b, fieldFrom, m.From)
	b = appendVarint(b, fieldSeq, m.Seq)
	if m.Digest != 0 {
		b = protowire.AppendTag(b, fieldDigest, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, m.Digest)
	}
	b = appendString(b, fieldSubjectID, m.Subject.ID)
	b = appendVarint(b, fieldSubjectStart, m.Subject.Start)
	var update []byte
	for _, u := range m.Updates {
		update = appendMember(update[:0], u)
		b = protowire.AppendTag(b, fieldUpdate, protowire.BytesType)
		b = protowire.AppendBytes(b, update)
	}
	return appendKnown(b, m.Known)
}

// appendKnown appends hashes as a packed field.
func appendKnown(b []byte, hashes []uint32) []byte {
	if len(hashes) == 0 {
		return b
	}
	b = protowire.AppendTag(b, fieldKnown, protowire.BytesType)
	b = protowire.AppendVarint(b, uint64(len(hashes)*hashBytes))
	for _, hash := range hashes {
		b = protowire.AppendFixed32(b, hash)
	}
	return b
}

func decodeKnown(b []byte) ([]uint32, error) {
	if len(b)%hashBytes != 0 || len(b) > MaxUpdates*hashBytes {
		return nil, fmt.Errorf("%w: %d bytes of hashes", ErrMalformed, len(b))
	}
	hashes := make([]uint32, 0, len(b)/hashBytes)
	for len(b) > 0 {
		hash, n := protowire.ConsumeFixed32(b)
		hashes = append(hashes, hash)
		b = b[n:]
	}
	return hashes, nil
}

func appendMember(b []byte, m Member) []byte {
	b = appendString(b, fieldID, m.ID)
	b = appendString(b, fieldAddress, m.Address)
	b = appendString(b, fieldZone, m.AvailabilityZone)
	b = appendVarint(b, fieldStart, m.Start)
	b = appendVarint(b, fieldRefutation, uint64(m.Refutation))
	b = appendVarint(b, fieldState, uint64(m.State))
	if m.Isolated {
		b = appendVarint(b, fieldIsolated, 1)
	}
	return b
}

func appendVarint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendString(b []byte, field protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, value)
}

// Decode reads a message. Unknown fields are skipped.
func Decode(b []byte) (Message, error) {
	var m Message
	err := eachField(b, func(field protowire.Number, number uint64, bytes []byte) error {
		switch field {
		case fieldKind:
			m.Kind = Kind(number)
		case fieldFrom:
			m.From = string(bytes)
		case fieldSeq:
			m.Seq = number
		case fieldDigest:
			m.Digest = number
		case fieldSubjectID:
			m.Subject.ID = string(bytes)
		case fieldSubjectStart:
			m.Subject.Start = number
		case fieldUpdate:
			if len(m.Updates) == MaxUpdates {
				return fmt.Errorf("%w: more than %d updates", ErrMalformed, MaxUpdates)
			}
			update, err := decodeMember(bytes)
			m.Updates = append(m.Updates, update)
			return err
		case fieldKnown:
			var err error
			m.Known, err = decodeKnown(bytes)
			return err
		}
		return nil
	})
	if err == nil && (m.Kind < Ping || m.Kind > SyncReply || m.From == "") {
		err = fmt.Errorf("%w: kind %d from %q", ErrMalformed, m.Kind, m.From)
	}
	return m, err
}

func decodeMember(b []byte) (Member, error) {
	var m Member
	err := eachField(b, func(field protowire.Number, number uint64, bytes []byte) error {
		switch field {
		case fieldID:
			m.ID = string(bytes)
		case fieldAddress:
			m.Address = string(bytes)
		case fieldZone:
			m.AvailabilityZone = string(bytes)
		case fieldStart:
			m.Start = number
		case fieldRefutation:
			m.Refutation = uint32(number)
		case fieldState:
			m.State = State(number)
		case fieldIsolated:
			m.Isolated = number != 0
		}
		return nil
	})
	if err == nil && (m.ID == "" || m.State < Alive || m.State > Left) {
		err = fmt.Errorf("%w: member %q in state %d", ErrMalformed, m.ID, m.State)
	}
	return m, err
}

// eachField calls visit with the number or the bytes of each field.
func eachField(b []byte, visit func(field protowire.Number, number uint64, bytes []byte) error) error {
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		var number uint64
		var bytes []byte
		switch wireType {
		case protowire.VarintType:
			number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, wireType, b)
		}
		if n < 0 {
			return fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		if err := visit(field, number, bytes); err != nil {
			return err
		}
	}
	return nil
}
