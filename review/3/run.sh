#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case" StopWindow "$(dirname "$0")"
