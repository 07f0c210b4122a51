package router

import "github.com/gofiber/fiber/v3"

// Routes adds the administration API to the administration listener.
func (r *Router) Routes(app fiber.Router) {
	app.Get("/v1/members", func(c fiber.Ctx) error { return c.JSON(r.Members()) })
}
