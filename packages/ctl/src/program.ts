import { runCommandLine } from "./cli/runCommandLine";

void runCommandLine(process.argv.slice(2)).then(exitCode => {
    process.exitCode = exitCode;
});
