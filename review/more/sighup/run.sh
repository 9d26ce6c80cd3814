#!/bin/bash
. "$(dirname "$0")/../../standins/run.sh"
