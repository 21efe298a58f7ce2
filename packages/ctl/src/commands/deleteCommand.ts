import type { Failure } from "@ibislanding/core";
import { Command, Option } from "clipanion";
import type { Result } from "ts-results";
import { ChangeCommand } from "../cli/changeCommand";
import type { ExitCode } from "../exit/exitCode";

const VERSION_PATTERN = /^\d{1,15}$/;

/** `ibisctl delete`: deletes one or more resources of a kind as one operation. */
export class DeleteCommand extends ChangeCommand {
    static override paths = [["delete"]];
    static override usage = Command.Usage({ description: "Delete resources of a kind atomically." });

    kind = Option.String({ required: true });
    names = Option.Rest({ required: 1 });
    expectedVersion = Option.String("--expected-version", { description: "Required current version of the resource." });

    async run(): Promise<Result<ExitCode, Failure>> {
        const { kind, expectedVersion } = this;
        return this.submit(this.names.map(name => ({
            action: "delete",
            kind,
            name,
            expectedVersion: expectedVersion === undefined ? undefined : Number(expectedVersion),
        })));
    }

    protected override findUsageError(): string | undefined {
        const { expectedVersion } = this;
        if (expectedVersion !== undefined && (!VERSION_PATTERN.test(expectedVersion) || this.names.length > 1)) {
            return "--expected-version must be a whole number, and requires exactly one resource name";
        }
        return super.findUsageError();
    }
}
