#!/usr/bin/env node
import process from "node:process";
import { runCommand } from "./run_command.ts";

void runCommand(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
});
