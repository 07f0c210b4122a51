package proc

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	maxAdminBody      = 1 << 20 // bytes
	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminIdleTimeout  = 30 * time.Second
	maxAdminConns     = 64
)

// credentialHash is the SHA-256 hash of the operator's credential.
type credentialHash [sha256.Size]byte

// parseCredentialHash parses the hexadecimal digits of a credential hash.
func parseCredentialHash(digits string) (c credentialHash, err error) {
	n, err := hex.Decode(c[:], []byte(digits[:min(len(digits), 2*len(c))]))
	if err != nil || n != len(c) || len(digits) != 2*len(c) {
		return c, errors.New("secret: want the 64 hexadecimal digits of a SHA-256 hash")
	}
	return c, nil
}

// matches reports whether the bearer credential in an Authorization header has
// the hash c. The comparison takes constant time.
func (c credentialHash) matches(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	sum := sha256.Sum256([]byte(token))
	same := subtle.ConstantTimeCompare(sum[:], c[:]) == 1
	return same && strings.EqualFold(scheme, "Bearer")
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// newApp returns the administration server. /healthz and /readyz need no
// credential; all routes registered after the credential check need the operator's.
func (p *Process) newApp(hash credentialHash) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      string(p.cfg.Name),
		BodyLimit:    maxAdminBody,
		Concurrency:  maxAdminConns,
		ReadTimeout:  adminReadTimeout,
		WriteTimeout: adminWriteTimeout,
		IdleTimeout:  adminIdleTimeout,
		ErrorHandler: writeError,
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return writeStatus(c, p.health.failures()) })
	app.Get("/readyz", func(c fiber.Ctx) error { return writeStatus(c, p.readinessFailures()) })
	app.Use(func(c fiber.Ctx) error {
		if hash.matches(c.Get(fiber.HeaderAuthorization)) {
			return c.Next()
		}
		p.log.Warn("administration request refused", "reason", "unauthorised", "path", c.Path(), "from", c.IP())
		p.metrics.scope.Counter("admin_refusals").Inc(1)
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return fiber.NewError(fiber.StatusUnauthorized, "missing or wrong credential")
	})
	app.Get("/state", func(c fiber.Ctx) error { return c.JSON(p.Dump()) })
	app.Get("/metrics", p.serveMetrics)
	return app
}

// readinessFailures returns the errors of the failed readiness checks by name. A
// draining process is not ready.
func (p *Process) readinessFailures() map[string]string {
	failures := p.ready.failures()
	if p.Draining() {
		failures["drain"] = "the process is draining"
	}
	return failures
}

// writeStatus writes failed checks as JSON, with status 503 if there are any.
func writeStatus(c fiber.Ctx, failures map[string]string) error {
	status, code := "ok", fiber.StatusOK
	if len(failures) > 0 {
		status, code = "failing", fiber.StatusServiceUnavailable
	}
	return c.Status(code).JSON(fiber.Map{"status": status, "faults": failures})
}

// writeError writes the error of a handler as JSON.
func writeError(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		code = fe.Code
	}
	return c.Status(code).JSON(errorBody{err.Error()})
}

// serveMetrics writes the metrics in textFormat.
func (p *Process) serveMetrics(c fiber.Ctx) error {
	text, err := p.metrics.text()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, string(textFormat))
	return c.Send(text)
}
