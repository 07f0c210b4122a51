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

func parseCredentialHash(secret string) (c credentialHash, err error) {
	n, err := hex.Decode(c[:], []byte(secret[:min(len(secret), 2*len(c))]))
	if err != nil || n != len(c) || len(secret) != 2*len(c) {
		return c, errors.New("secret: want the 64 hexadecimal digits of a SHA-256 hash")
	}
	return c, nil
}

// matches compares in constant time the hash of the bearer credential in an
// Authorization header.
func (c credentialHash) matches(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	sum := sha256.Sum256([]byte(token))
	same := subtle.ConstantTimeCompare(sum[:], c[:]) == 1
	return same && strings.EqualFold(scheme, "Bearer")
}

type errorBody struct {
	Error string `json:"error"`
}

// newApp returns the administration server with its own routes. Those added
// later come after the credential's check.
func (p *Process) newApp(auth credentialHash) *fiber.App {
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
		if auth.matches(c.Get(fiber.HeaderAuthorization)) {
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

func (p *Process) readinessFailures() map[string]string {
	faults := p.ready.failures()
	if p.Draining() {
		faults["drain"] = "the process is draining"
	}
	return faults
}

func writeStatus(c fiber.Ctx, faults map[string]string) error {
	status, code := "ok", fiber.StatusOK
	if len(faults) > 0 {
		status, code = "failing", fiber.StatusServiceUnavailable
	}
	return c.Status(code).JSON(fiber.Map{"status": status, "faults": faults})
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

func (p *Process) serveMetrics(c fiber.Ctx) error {
	text, err := p.metrics.text()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, string(textFormat))
	return c.Send(text)
}
