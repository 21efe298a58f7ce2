import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { findUrlError } from "../cli/findUrlError";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { parseResponse } from "../client/parseResponse";
import { sendHttpRequest } from "../client/sendHttpRequest";
import { ExitCode } from "../exit/exitCode";

const MS_PER_SECOND = 1_000;

/** `ibisctl dump`: writes the internal state of one process as JSON. */
export class DumpCommand extends IbisctlCommand {
    static override paths = [["dump"]];
    static override usage = Command.Usage({
        description: "Write the state of a process, given the URL of its operations listener.",
        examples: [["Dump an entry host", "ibisctl dump http://127.0.0.1:9101"]],
    });

    url = Option.String({ required: true });

    async run(): Promise<Result<ExitCode, Failure>> {
        const url = `${this.url.replace(/\/+$/, "")}/state`;
        const reply = await sendHttpRequest({ method: "GET", url, timeoutMs: Number(this.timeout) * MS_PER_SECOND });
        return reply.andThen(answer => parseResponse<unknown>(answer)).andThen(state => {
            this.context.stdout.write(`${JSON.stringify(state, undefined, 2)}\n`);
            return Ok(ExitCode.Ok);
        });
    }

    protected override findUsageError(): string | undefined {
        return findUrlError(this.url) ?? super.findUsageError();
    }
}
