package command

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hickorydock/hickorydock/internal/protocol/query"
)

// TicketPrefix is the prefix of every ticket.
const TicketPrefix = "hdt1."

// MaxTicketBytes is the longest ticket.
const MaxTicketBytes = 512

// macBytes is the length of a ticket's authentication code.
const macBytes = 16

// ErrInvalidTicket means that a ticket is malformed or was altered.
var ErrInvalidTicket = errors.New("ticket is not valid")

// TicketRequest is the body of a request for a ticket.
type TicketRequest struct {
	Service string `json:"service"`
}

// TicketReply is the body of the reply to a TicketRequest.
type TicketReply struct {
	Ticket  string    `json:"ticket"`
	Expires time.Time `json:"expires"`
}

// Ticket is a key for one command that only the incarnation that issued it may
// run.
type Ticket struct {
	Issuer  Incarnation `json:"issuer"`
	Service string      `json:"service"`
	// Serial is unique for the issuer.
	Serial uint64 `json:"serial"`
	// ExpiresMS is the time until which the ticket can be redeemed, in milliseconds
	// since 1970, by the issuer's clock.
	ExpiresMS int64 `json:"expires_ms"`
}

// Expires returns the time until which the ticket can be redeemed.
func (t Ticket) Expires() time.Time { return time.UnixMilli(t.ExpiresMS) }

// Name returns a name that is unique among all tickets.
func (t Ticket) Name() string {
	return hashParts(t.Issuer.Node, fmt.Sprint(t.Issuer.Number), fmt.Sprint(t.Serial))
}

// IsTicket reports whether a key has the form of a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, TicketPrefix) }

// Sign encodes a ticket with its authentication code; only the issuer knows secret.
func (t Ticket) Sign(secret []byte) (string, error) {
	payload, err := json.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("ticket: %w", err)
	}
	code := authenticationCode(secret, payload)
	enc := base64.RawURLEncoding
	return TicketPrefix + enc.EncodeToString(payload) + "." + enc.EncodeToString(code), nil
}

func authenticationCode(secret, payload []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

// ParseTicketUnverified decodes a ticket without checking its authentication code,
// which is enough to forward it to its issuer. It fails with ErrInvalidTicket.
func ParseTicketUnverified(text string) (Ticket, error) {
	ticket, _, _, err := decodeTicket(text)
	return ticket, err
}

// VerifyTicket decodes a ticket and checks its authentication code. It fails with
// ErrInvalidTicket.
func VerifyTicket(text string, secret []byte) (Ticket, error) {
	ticket, payload, code, err := decodeTicket(text)
	if err != nil {
		return Ticket{}, err
	}
	if !hmac.Equal(code, authenticationCode(secret, payload)) {
		return Ticket{}, fmt.Errorf("%w: authentication code differs", ErrInvalidTicket)
	}
	return ticket, nil
}

func decodeTicket(text string) (ticket Ticket, payload, code []byte, err error) {
	if len(text) > MaxTicketBytes {
		return Ticket{}, nil, nil, fmt.Errorf("%w: more than %d bytes", ErrInvalidTicket, MaxTicketBytes)
	}
	encodedPayload, encodedCode, found := strings.Cut(strings.TrimPrefix(text, TicketPrefix), ".")
	if !found || !IsTicket(text) {
		return Ticket{}, nil, nil, fmt.Errorf("%w: not of two parts", ErrInvalidTicket)
	}
	payload, err = base64.RawURLEncoding.DecodeString(encodedPayload)
	if err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("%w: %w", ErrInvalidTicket, err)
	}
	code, err = base64.RawURLEncoding.DecodeString(encodedCode)
	if err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("%w: %w", ErrInvalidTicket, err)
	}
	if err = json.Unmarshal(payload, &ticket); err != nil {
		return Ticket{}, nil, nil, fmt.Errorf("%w: %w", ErrInvalidTicket, err)
	}
	return ticket, payload, code, nil
}

// Redemption is the issuer's record of a redeemed ticket.
type Redemption struct {
	Serial   uint64 `json:"serial"`
	BodyHash string `json:"body_hash"`
	// RequestID is the id under which upstreams see the command.
	RequestID string `json:"request_id"`
	// State is StateClaimed while the command runs.
	State State `json:"state"`
	// Answer is set in StateDone.
	Answer *Answer `json:"answer,omitempty"`
}

// Result returns the caller's result of a settled redemption.
func (r Redemption) Result() Result {
	return FromRecord(Record{RequestID: r.RequestID, State: r.State, Answer: r.Answer})
}

// ForwardedCommand is a ticket's command that is forwarded to the issuer.
type ForwardedCommand struct {
	Ticket  string  `json:"ticket"`
	Service string  `json:"service"`
	Request Request `json:"request"`
	// TimeLeftMS is the time until the deadline of the request, in milliseconds.
	TimeLeftMS int64 `json:"left_ms"`
}

// Ledger is the list of redemptions that a stopping incarnation stores in the
// platform. It is the value of the object LedgerName.
type Ledger struct {
	Issuer Incarnation `json:"issuer"`
	// Complete is true when the ledger lists every redeemed ticket: others are void.
	Complete bool      `json:"whole"`
	EndedAt  time.Time `json:"ended_at"`
	// RetentionMS is how long after a ticket's expiry its redemption was stored, in
	// milliseconds: the ledger does not list older ones.
	RetentionMS int64        `json:"retention_ms"`
	Redemptions []Redemption `json:"redemptions"`
}

// LedgerName returns the name of an incarnation's ledger among the claims.
func LedgerName(issuer Incarnation) string {
	return "ledger-" + hashParts(issuer.Node, fmt.Sprint(issuer.Number))
}

// LedgerPrefix is the prefix of the names of all ledgers.
const LedgerPrefix = "ledger-"

// Lookup returns the result of redeeming a ticket with a body of the given hash.
func (l Ledger) Lookup(t Ticket, bodyHash string) Result {
	for _, r := range l.Redemptions {
		if r.Serial != t.Serial {
			continue
		}
		if r.BodyHash != bodyHash {
			return Result{Outcome: query.NotRun, Cause: CauseOtherBody, Final: true}
		}
		return r.Result()
	}
	retentionEnded := l.EndedAt.After(t.Expires().Add(time.Duration(l.RetentionMS) * time.Millisecond))
	switch {
	case retentionEnded:
		return Result{Outcome: query.Unknown, Cause: CauseTicketExpired, Final: true}
	case l.Complete:
		return Result{Outcome: query.NotRun, Cause: CauseTicketVoid, Final: true}
	default:
		return Result{Outcome: query.Unknown, Cause: CauseTicketNodeGone, Final: true}
	}
}
