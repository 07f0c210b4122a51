// Package cove is under construction.
package cove
