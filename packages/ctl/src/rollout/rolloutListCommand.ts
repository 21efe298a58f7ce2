import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { findUrlError } from "../cli/findUrlError";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { parseResponse } from "../client/parseResponse";
import { sendHttpRequest } from "../client/sendHttpRequest";
import { ExitCode } from "../exit/exitCode";
import type { RolloutResponse } from "./rolloutResponse";
import { rolloutTable } from "./rolloutTable";

/** `ibisctl rollout list`: shows how far the rollouts of all services are, and what speaks against their targets. */
export class RolloutListCommand extends IbisctlCommand {
    static override paths = [["rollout", "list"]];
    static override usage = Command.Usage({
        description: "Show the rollouts, given the URL of a host's metrics listener.",
        details: "AT TARGET and ELSEWHERE state requests sent, failures and slow answers, over all hosts.",
        examples: [["List the rollouts that a host knows", "ibisctl rollout list http://10.0.0.1:9101"]],
    });

    url = Option.String({ required: true });

    async run(): Promise<Result<ExitCode, Failure>> {
        const { timeoutMs } = this.timing();
        const url = `${this.url.replace(/\/+$/, "")}/rollouts`;
        const response = await sendHttpRequest({ method: "GET", url, timeoutMs });
        return response.andThen(received => parseResponse<RolloutResponse>(received)).andThen(listed => {
            this.write(listed, () => rolloutTable(listed));
            return Ok(ExitCode.Ok);
        });
    }

    protected override findUsageError(): string | undefined {
        return findUrlError(this.url) ?? super.findUsageError();
    }
}
