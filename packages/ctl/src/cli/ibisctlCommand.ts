import { createSystemClock, createSystemRandom, type Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Err, type Result } from "ts-results";
import type { AdminClient } from "../client/adminClient";
import { createAdminClient } from "../client/createAdminClient";
import type { RetryTiming } from "../client/retryTiming";
import { resolveContext } from "../context/resolveContext";
import { ExitCode } from "../exit/exitCode";
import { exitCodeOf } from "../exit/exitCodeOf";
import { formatFailure } from "../output/formatFailure";

const MS_PER_SECOND = 1_000;
const DEFAULT_TIMEOUT_SECONDS = "60";

/** Base class of all commands: common options, output format, error output and exit codes. */
export abstract class IbisctlCommand extends Command {
    output = Option.String("--output,-o", "table", { description: "Output format: table or json." });
    server = Option.String("--server", {
        description: "URLs of ibis-admin, separated by commas; also IBIS_SERVER or the context file.",
    });
    token = Option.String("--token", { description: "Operator token; also IBIS_TOKEN or the context file." });
    authorityFile = Option.String("--authority-file", {
        description: "PEM file of the trusted certificate authorities.",
    });
    contextFile = Option.String("--context", { description: "TOML context file; also IBIS_CONTEXT." });
    timeout = Option.String("--timeout", DEFAULT_TIMEOUT_SECONDS, {
        description: "Seconds after which retries and waits stop.",
    });

    /** Runs the command after its options were validated. */
    abstract run(): Promise<Result<ExitCode, Failure>>;

    async execute(): Promise<number> {
        const usageError = this.findUsageError();
        if (usageError !== undefined) {
            this.context.stderr.write(`ibisctl: usage: ${usageError}\n`);
            return ExitCode.Usage;
        }
        const result = await this.run();
        if (result.ok) {
            return result.val;
        }
        this.context.stderr.write(`${formatFailure(result.val)}\n`);
        return exitCodeOf(result.val);
    }

    /** Returns a message about invalid options; undefined when they are valid. */
    protected findUsageError(): string | undefined {
        if (!["table", "json"].includes(this.output)) {
            return `--output must be table or json (value: ${this.output})`;
        }
        return Number(this.timeout) > 0 ? undefined : `--timeout must be a positive number (value: ${this.timeout})`;
    }

    /** Runs a function with a client of the administration API, created from the connection options. */
    protected async withClient<T>(
        use: (client: AdminClient) => Promise<Result<T, Failure>>,
    ): Promise<Result<T, Failure>> {
        const context = resolveContext(this, this.context.env);
        return context.ok ? use(createAdminClient(context.val)) : Err(context.val);
    }

    protected timing(): RetryTiming {
        return {
            clock: createSystemClock(),
            random: createSystemRandom(),
            timeoutMs: Number(this.timeout) * MS_PER_SECOND,
        };
    }

    /** Writes a result to the standard output, as JSON or as text, according to --output. */
    protected write(document: unknown, toText: () => string): void {
        const text = this.output === "json" ? JSON.stringify(document, undefined, 2) : toText();
        this.context.stdout.write(`${text}\n`);
    }

    /** Writes a line of progress or diagnostics to the standard error. */
    protected writeDiagnostic(line: string): void {
        this.context.stderr.write(`${line}\n`);
    }
}
