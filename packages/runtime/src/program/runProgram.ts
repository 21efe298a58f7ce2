import type { ValidationIssue } from "@ibislanding/resources";
import { Builtins, Cli, Command, Option } from "clipanion";
import { stringify } from "smol-toml";
import { loadSettings } from "../settings/loadSettings";
import type { ProcessSettings } from "../settings/processSettings";
import { redactSettings } from "../settings/redactSettings";
import type { ProgramDefinition } from "./programDefinition";
import { startProgram } from "./startProgram";

const EXIT_INVALID_SETTINGS = 2;

const formatIssue = ({ field, value, reason }: ValidationIssue): string =>
    `${field || "(file)"}: ${reason} (value: ${value})`;

/** Runs a program from the command line: `--settings FILE`, `--check-settings`, `--print-settings`. */
export const runProgram = async <Settings extends { readonly process: ProcessSettings; }>(
    definition: ProgramDefinition<Settings>,
): Promise<void> => {
    class StartCommand extends Command {
        static override paths = [Command.Default];
        static override usage = Command.Usage({ description: definition.description });

        settingsFile = Option.String("--settings", { required: true, description: "TOML settings file." });
        checkSettings = Option.Boolean("--check-settings", false, { description: "Check the settings and exit." });
        printSettings = Option.Boolean("--print-settings", false, {
            description: "Print the settings with defaults, secrets hidden, and exit.",
        });

        async execute(): Promise<number> {
            const settings = loadSettings(this.settingsFile, definition.settingsSchema);
            if (settings.err) {
                settings.val.forEach(issue => this.context.stderr.write(`${formatIssue(issue)}\n`));
                return EXIT_INVALID_SETTINGS;
            }
            if (this.printSettings) {
                this.context.stdout.write(`${stringify(redactSettings(settings.val))}\n`);
            }
            if (this.checkSettings || this.printSettings) {
                return 0;
            }
            const exitCode = await startProgram(definition, settings.val);
            // Open connections of callers must not keep a stopped process alive.
            process.exit(exitCode);
        }
    }
    const cli = new Cli({ binaryLabel: definition.name, binaryName: definition.name });
    cli.register(Builtins.HelpCommand);
    cli.register(StartCommand);
    await cli.runExit(process.argv.slice(2));
};
