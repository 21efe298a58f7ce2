import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { findUrlError } from "../cli/findUrlError";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { callQuarantine } from "./callQuarantine";

/** `ibisctl quarantine end`: ends a quarantine at all hosts. */
export class QuarantineEndCommand extends IbisctlCommand {
    static override paths = [["quarantine", "end"]];
    static override usage = Command.Usage({
        description: "End a quarantine at all hosts, given the URL of one host's metrics listener.",
        details: "Requests with the feature are sent to upstreams again; one or two crashes bring the quarantine back.",
        examples: [[
            "End the quarantine of a request",
            "ibisctl quarantine end http://10.0.0.1:9101 request:4f1a.9c02",
        ]],
    });

    url = Option.String({ required: true });
    featureId = Option.String({ required: true, name: "feature" });

    async run(): Promise<Result<ExitCode, Failure>> {
        const path = encodeURIComponent(this.featureId);
        return (await callQuarantine<{ readonly featureId: string; }>("DELETE", this.url, this.timing(), path))
            .andThen(response => {
                this.write(response, () => `The quarantine of ${response.featureId} has ended.`);
                return Ok(ExitCode.Ok);
            });
    }

    protected override findUsageError(): string | undefined {
        return findUrlError(this.url) ?? super.findUsageError();
    }
}
