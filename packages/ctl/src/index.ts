// Command line
export { runCommandLine } from "./cli/runCommandLine";
export { ExitCode } from "./exit/exitCode";
