import type { Failure } from "@ibislanding/core";
import { resourceKinds } from "@ibislanding/resources";
import { Command, Option } from "clipanion";
import { Ok, type Result } from "ts-results";
import { IbisctlCommand } from "../cli/ibisctlCommand";
import { ExitCode } from "../exit/exitCode";
import { completionScript } from "./completionScript";

/** `ibisctl completion`: writes the completion script for a shell. */
export class CompletionCommand extends IbisctlCommand {
    static override paths = [["completion"]];
    static override usage = Command.Usage({
        description: "Write the completion script for bash or zsh.",
        examples: [["Enable completion in the current shell", "source <(ibisctl completion bash)"]],
    });

    shell = Option.String({ required: true });

    async run(): Promise<Result<ExitCode, Failure>> {
        const commands = this.cli.definitions()
            .map(({ path, options }) => ({
                path: path.replace(/^ibisctl\s*/, ""),
                options: options.flatMap(({ definition }) => definition.split(" ")[0]?.split(",") ?? []),
            }))
            .filter(({ path }) => /^[a-z]+$/.test(path));
        const script = completionScript(this.shell, commands, resourceKinds);
        if (script === undefined) {
            this.writeDiagnostic(`ibisctl: usage: the shell must be bash or zsh (value: ${this.shell})`);
            return Ok(ExitCode.Usage);
        }
        this.context.stdout.write(script);
        return Ok(ExitCode.Ok);
    }
}
