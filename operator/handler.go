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
	// PublishTimeout bounds one publish at the entry VM. If the log takes longer, the
	// outcome is unknown and the operator repeats the request.
	PublishTimeout = 15 * time.Second
	// QueryTimeout bounds every other request.
	QueryTimeout = 10 * time.Second
	// maxChangeIDLength bounds the length of a ChangeID, which every VM stores.
	maxChangeIDLength = 64
)

// handler serves an Operator to clients whose token has one of the hashes.
type handler struct {
	operator Operator
	hashes   []string
}

// NewHandler returns a handler that serves an Operator to clients with a token that
// has one of the given hashes (SHA-256, lower-case hex). Without hashes it rejects
// all requests.
func NewHandler(operator Operator, tokenSHA256 ...string) http.Handler {
	h := &handler{operator: operator, hashes: tokenSHA256}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPublish, h.publish)
	mux.HandleFunc("GET "+pathContracts, queryHandler(func(ctx context.Context, _ *http.Request) (any, error) {
		return operator.Contracts(ctx)
	}))
	mux.HandleFunc("GET "+pathContracts+"/{customer}", queryHandler(func(ctx context.Context, r *http.Request) (any, error) {
		customer := r.PathValue("customer")
		contract, err := operator.Contract(ctx, customer)
		return contract, addCustomer(customer, err)
	}))
	mux.HandleFunc("GET "+pathContracts+"/{customer}/history", queryHandler(func(ctx context.Context, r *http.Request) (any, error) {
		customer := r.PathValue("customer")
		entries, err := operator.History(ctx, customer)
		return entries, addCustomer(customer, err)
	}))
	mux.HandleFunc("GET "+pathStatus, queryHandler(func(ctx context.Context, _ *http.Request) (any, error) {
		return operator.Status(ctx)
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, nil, fmt.Errorf("%w: no such path", ErrNotFound))
	})
	return h.authorize(mux)
}

// addCustomer adds the customer to ErrNotFound and returns other errors unchanged.
func addCustomer(customer string, err error) error {
	if errors.Is(err, ErrNotFound) {
		return fmt.Errorf("%w: no contract of %q", err, customer)
	}
	return err
}

// authorize passes requests with a known token to next and rejects all others.
func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.isKnownToken(bearerToken(r)) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply(w, nil, ErrUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isKnownToken reports whether the token has one of the handler's hashes. It
// compares in constant time and doesn't stop at the first match, so that response
// times don't help to guess a token.
func (h *handler) isKnownToken(token string) bool {
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
	if err := request.validate(); err != nil {
		return request, fmt.Errorf("%w: %v", ErrBadRequest, err)
	}
	return request, nil
}

// validate rejects malformed requests before they are proposed.
func (r PublishRequest) validate() error {
	switch {
	case r.ChangeID == "":
		return errors.New("change_id is missing")
	case len(r.ChangeID) > maxChangeIDLength:
		return fmt.Errorf("change_id is longer than %d characters", maxChangeIDLength)
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

// queryHandler serves a request without a body.
func queryHandler(answer func(context.Context, *http.Request) (any, error)) http.HandlerFunc {
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
	httpjson.Reply(w, known.status, errorBody{Code: known.code, Error: known.message(err)})
}
