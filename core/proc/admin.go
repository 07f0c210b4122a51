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
	adminBody    = 1 << 20 // bytes
	adminRead    = 5 * time.Second
	adminWrite   = 10 * time.Second
	adminIdle    = 30 * time.Second
	adminClients = 64
)

// credential is the SHA-256 hash of the operator's credential.
type credential [sha256.Size]byte

func newCredential(secret string) (c credential, err error) {
	n, err := hex.Decode(c[:], []byte(secret[:min(len(secret), 2*len(c))]))
	if err != nil || n != len(c) || len(secret) != 2*len(c) {
		return c, errors.New("secret: want the 64 hexadecimal digits of a SHA-256 hash")
	}
	return c, nil
}

// matches compares in constant time the hash of the bearer credential in an
// Authorization header.
func (c credential) matches(header string) bool {
	scheme, token, _ := strings.Cut(header, " ")
	sum := sha256.Sum256([]byte(token))
	same := subtle.ConstantTimeCompare(sum[:], c[:]) == 1
	return same && strings.EqualFold(scheme, "Bearer")
}

type problem struct {
	Error string `json:"error"`
}

// newApp returns the administration server with its own routes. Those added
// later come after the credential's check.
func (p *Process) newApp(auth credential) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      string(p.cfg.Name),
		BodyLimit:    adminBody,
		Concurrency:  adminClients,
		ReadTimeout:  adminRead,
		WriteTimeout: adminWrite,
		IdleTimeout:  adminIdle,
		ErrorHandler: fault,
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return answer(c, p.health.faults()) })
	app.Get("/readyz", func(c fiber.Ctx) error { return answer(c, p.readiness()) })
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

func (p *Process) readiness() map[string]string {
	faults := p.ready.faults()
	if p.Draining() {
		faults["drain"] = "the process is draining"
	}
	return faults
}

func answer(c fiber.Ctx, faults map[string]string) error {
	status, code := "ok", fiber.StatusOK
	if len(faults) > 0 {
		status, code = "failing", fiber.StatusServiceUnavailable
	}
	return c.Status(code).JSON(fiber.Map{"status": status, "faults": faults})
}

// fault writes the error of a handler as JSON.
func fault(c fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		code = fe.Code
	}
	return c.Status(code).JSON(problem{err.Error()})
}

func (p *Process) serveMetrics(c fiber.Ctx) error {
	text, err := p.metrics.text()
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, string(textFormat))
	return c.Send(text)
}
