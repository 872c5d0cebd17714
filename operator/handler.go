package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bergamotreel/internal/httpjson"
)

const (
	// PublishTimeout bounds one publish at the entry VM: a log that is slow for
	// longer leaves the outcome unknown, and the operator asks again.
	PublishTimeout = 15 * time.Second
	// AskTimeout bounds every other request.
	QueryTimeout = 10 * time.Second
	// maxChangeID bounds a ChangeID, which every VM remembers.
	maxChangeID = 64
)

// handler serves an Operator.
type handler struct {
	operator Operator
	hashes   []string
}

// NewHandler serves an Operator to those who have a token with one of the given
// hashes (SHA-256, lower-case hex). Without a hash nobody gets in.
func NewHandler(operator Operator, tokenSHA256 ...string) http.Handler {
	h := &handler{operator: operator, hashes: tokenSHA256}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPublish, h.publish)
	mux.HandleFunc("GET "+pathContracts, ask(func(ctx context.Context, _ *http.Request) (any, error) {
		return operator.Contracts(ctx)
	}))
	mux.HandleFunc("GET "+pathContracts+"/{customer}", ask(func(ctx context.Context, r *http.Request) (any, error) {
		customer := r.PathValue("customer")
		contract, err := operator.Contract(ctx, customer)
		return contract, ofCustomer(customer, err)
	}))
	mux.HandleFunc("GET "+pathContracts+"/{customer}/history", ask(func(ctx context.Context, r *http.Request) (any, error) {
		customer := r.PathValue("customer")
		entries, err := operator.History(ctx, customer)
		return entries, ofCustomer(customer, err)
	}))
	mux.HandleFunc("GET "+pathStatus, ask(func(ctx context.Context, _ *http.Request) (any, error) {
		return operator.Status(ctx)
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, nil, fmt.Errorf("%w: no such path", ErrNotFound))
	})
	return h.authorize(mux)
}

// ofCustomer says whose contract was not found.
func ofCustomer(customer string, err error) error {
	if errors.Is(err, ErrNotFound) {
		return fmt.Errorf("%w: no contract of %q", err, customer)
	}
	return err
}

// authorize lets a request through only with a known token.
func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.knows(bearerToken(r)) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, nil, ErrUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// knows compares hashes in constant time and doesn't stop at the first match:
// the time of an answer must not help to guess a token.
func (h *handler) knows(token string) bool {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for _, known := range h.hashes {
		match |= subtle.ConstantTimeCompare(hash, []byte(known))
	}
	return match == 1
}

func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request) {
	request, err := readPublish(w, r)
	if err != nil {
		reply(w, nil, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), PublishTimeout)
	defer cancel()
	result, err := h.operator.Publish(ctx, request)
	reply(w, result, err)
}

func readPublish(w http.ResponseWriter, r *http.Request) (PublishRequest, error) {
	var request PublishRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, fmt.Errorf("%w: %v", ErrBadRequest, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return request, fmt.Errorf("%w: text after the JSON object", ErrBadRequest)
	}
	if err := request.check(); err != nil {
		return request, fmt.Errorf("%w: %v", ErrBadRequest, err)
	}
	return request, nil
}

// check finds requests that no VM has to think about.
func (r PublishRequest) check() error {
	switch {
	case r.ChangeID == "":
		return errors.New("change_id is missing")
	case len(r.ChangeID) > maxChangeID:
		return fmt.Errorf("change_id is longer than %d characters", maxChangeID)
	case r.Customer == "":
		return errors.New("customer is missing")
	case r.Remove && len(r.Sections) > 0:
		return errors.New("sections in a removal")
	case !r.Remove && len(r.Sections) == 0:
		return errors.New("no sections: nothing to change")
	case r.changeBytes() > MaxChangeBytes:
		return fmt.Errorf("sections are longer than %d bytes: publish the change in parts", MaxChangeBytes)
	}
	return nil
}

func (r PublishRequest) changeBytes() int {
	bytes := 0
	for name, text := range r.Sections {
		bytes += len(name) + len(text)
	}
	return bytes
}

// ask serves a question without a body.
func ask(answer func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), QueryTimeout)
		defer cancel()
		body, err := answer(ctx, r)
		reply(w, body, err)
	}
}

func reply(w http.ResponseWriter, body any, err error) {
	if err == nil {
		httpjson.Reply(w, http.StatusOK, body)
		return
	}
	known := toWire(err)
	httpjson.Reply(w, known.status, errorBody{Code: known.code, Error: known.text(err)})
}
