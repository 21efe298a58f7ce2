import { Command, Option } from "clipanion";
import { announcedFaults } from "../faults/announcedFaults";
import { faultHandlers } from "../faults/faultHandlers";
import type { FaultKind } from "../faults/faultKind";
import { runProof } from "../run/runProof";

const MS_PER_SECOND = 1_000;
const IN_FORCE_MS = 9_000;
const LEAVING_MS = 3_000;
const MAXIMUM_VIOLATIONS = 20;

const faultSets: Readonly<Record<string, readonly FaultKind[]>> = {
    none: [],
    announced: announcedFaults,
    all: Object.keys(faultHandlers) as FaultKind[],
};

const parseFaults = (text: string): readonly FaultKind[] => faultSets[text] ?? (text.split(",") as FaultKind[]);

/** Command that runs a fault-injection test against real processes on loopback; exits with 1 on a violation. */
export class RunCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Run a system under load and faults and check the recorded history.",
        examples: [["All faults for a minute", "npm run proofs -- --seed 7 --duration 60"]],
    });

    seed = Option.String("--seed", "1");
    duration = Option.String("--duration", "30", { description: "Duration of the load in seconds." });
    faults = Option.String("--faults", "all", { description: "none, announced, all, or kinds separated by commas." });
    outage = Option.String("--outage", "4", { description: "Duration of a key-value service outage in seconds." });
    chatCallers = Option.String("--chat-callers", "6");
    actionCallers = Option.String("--action-callers", "4");
    operators = Option.String("--operators", "2");

    async execute(): Promise<number> {
        const result = await runProof({
            seed: Number(this.seed),
            durationMs: Number(this.duration) * MS_PER_SECOND,
            faults: parseFaults(this.faults),
            outageMs: Number(this.outage) * MS_PER_SECOND,
            chatCallers: Number(this.chatCallers),
            actionCallers: Number(this.actionCallers),
            operators: Number(this.operators),
            inForceMs: IN_FORCE_MS,
            leavingMs: LEAVING_MS,
            distDirectory: "dist",
            reportDirectory: "reports",
        });
        const { stdout } = this.context;
        stdout.write(`seed ${this.seed}, history ${result.historyFile}\n`);
        Object.entries(result.totals.operations).forEach(([name, count]) => stdout.write(`  ${name}: ${count}\n`));
        Object.entries(result.totals.faults).forEach(([name, count]) => stdout.write(`  fault ${name}: ${count}\n`));
        result.violations.slice(0, MAXIMUM_VIOLATIONS)
            .forEach(({ check, subject, detail }) => stdout.write(`VIOLATION ${check} ${subject}: ${detail}\n`));
        result.uncleanStops.forEach(name => stdout.write(`UNCLEAN STOP ${name}\n`));
        stdout.write(`${result.violations.length} violations, ${result.uncleanStops.length} unclean stops\n`);
        return result.violations.length + result.uncleanStops.length === 0 ? 0 : 1;
    }
}
