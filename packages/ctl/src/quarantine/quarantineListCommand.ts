import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { findUrlError } from "../cli/findUrlError";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { callQuarantine } from "./callQuarantine";
import type { QuarantineResponse } from "./quarantineResponse";
import { quarantineTable } from "./quarantineTable";

/** `ibisctl quarantine list`: shows what the hosts refuse because upstreams crash under it. */
export class QuarantineListCommand extends IbisctlCommand {
    static override paths = [["quarantine", "list"]];
    static override usage = Command.Usage({
        description: "Show the quarantined prompt parts and requests, given the URL of a host's metrics listener.",
        examples: [["List what a host refuses", "ibisctl quarantine list http://10.0.0.1:9101"]],
    });

    url = Option.String({ required: true });

    async run(): Promise<Result<ExitCode, Failure>> {
        return (await callQuarantine<QuarantineResponse>("GET", this.url, this.timing())).andThen(response => {
            this.write(response, () => quarantineTable(response));
            return Ok(ExitCode.Ok);
        });
    }

    protected override findUsageError(): string | undefined {
        return findUrlError(this.url) ?? super.findUsageError();
    }
}
