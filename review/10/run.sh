#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case-2" "$(dirname "${BASH_SOURCE[0]}")" GoneWorker
