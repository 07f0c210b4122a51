package local

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hornbeamcove.example/core/wire"
	"hornbeamcove.example/router"
)

const maxLineSize = 4 << 20

// Reply is what a caller got: an answer or a refusal, and the streamed text.
type Reply struct {
	Answer     *router.Answer
	Refusal    *router.Refusal
	Text       string
	FirstChunk time.Duration // until the first chunk, or 0
	Duration   time.Duration
}

// Call is a caller's request.
type Call struct {
	Key      string
	Pipeline wire.PipelineID
	Body     any
	Token    wire.Token
	Stream   bool
	Deadline time.Duration // 0 for the pipeline's own
}

// Post sends a request to a router and reads the whole reply. An error means that
// the connection broke or the reply is not of the documented form.
func Post(ctx context.Context, url string, c Call) (rep *Reply, err error) {
	defer func() {
		if err != nil {
			rep, err = nil, fmt.Errorf("post %s: %w", c.Pipeline, err)
		}
	}()
	body, err := json.Marshal(c.Body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/pipelines/"+string(c.Pipeline), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if c.Token != "" {
		req.Header.Set("Reservation", string(c.Token))
	}
	if c.Deadline > 0 {
		req.Header.Set("Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	}
	if c.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	begun := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	rep = &Reply{}
	if resp.StatusCode == http.StatusOK && c.Stream {
		err = rep.readEvents(resp.Body, begun)
	} else {
		err = rep.readJSON(resp)
	}
	rep.Duration = time.Since(begun)
	return rep, err
}

func (rep *Reply) readJSON(resp *http.Response) error {
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		rep.Answer = new(router.Answer)
		return dec.Decode(rep.Answer)
	}
	rep.Refusal = new(router.Refusal)
	return dec.Decode(rep.Refusal)
}

func (rep *Reply) readEvents(r io.Reader, begun time.Time) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineSize)
	name := ""
	for sc.Scan() {
		if v, ok := strings.CutPrefix(sc.Text(), "event: "); ok {
			name = v
			continue
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if err := rep.handleEvent(name, []byte(data), begun); err != nil {
			return err
		}
	}
	if rep.Answer == nil && rep.Refusal == nil {
		return errors.New("stream ended without an answer or a refusal")
	}
	return sc.Err()
}

func (rep *Reply) handleEvent(name string, data []byte, begun time.Time) error {
	switch name {
	case "chunk":
		var c struct {
			Text string `json:"text"`
		}
		if rep.FirstChunk == 0 {
			rep.FirstChunk = time.Since(begun)
		}
		err := json.Unmarshal(data, &c)
		rep.Text += c.Text
		return err
	case "answer":
		rep.Answer = new(router.Answer)
		return json.Unmarshal(data, rep.Answer)
	case "refusal":
		rep.Refusal = new(router.Refusal)
		return json.Unmarshal(data, rep.Refusal)
	default:
		return fmt.Errorf("unknown event %q", name)
	}
}

// Reserve obtains a reservation.
func Reserve(ctx context.Context, url, key string, p wire.PipelineID) (tok wire.Token, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("reserve %s: %w", p, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/pipelines/"+string(p)+"/reservations", nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusCreated {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineSize))
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	var out struct {
		Token wire.Token `json:"token"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Token, err
}
