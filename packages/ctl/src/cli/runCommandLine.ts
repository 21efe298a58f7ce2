import type { BaseContext, Command } from "clipanion";
import { ExitCode } from "../exit/exitCode";
import { createCli } from "./createCli";

/** Returns the first line of an error, without suggestions and the list of all commands. */
const describe = (error: unknown): string =>
    (error instanceof Error ? error.message : String(error)).split("\n")[0]?.replace(/; did you mean.*$/, "") ?? "";

/** Parses and runs one command line; returns the exit code. */
export const runCommandLine = async (
    argumentTexts: readonly string[],
    context: Partial<BaseContext> = {},
): Promise<number> => {
    const cli = createCli();
    const stderr = context.stderr ?? process.stderr;
    let command: Command;
    try {
        command = cli.process([...argumentTexts], context);
    }
    catch (error) {
        stderr.write(`ibisctl: usage: ${describe(error)}\nRun "ibisctl --help" or "ibisctl <command> --help".\n`);
        return ExitCode.Usage;
    }
    return cli.run(command, context);
};
