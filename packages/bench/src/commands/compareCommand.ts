import { createHasher } from "@ibislanding/core";
import type { RoutingPolicyName } from "@ibislanding/resources";
import { Command, Option } from "clipanion";
import { writeFileSync } from "node:fs";
import { formatHtml } from "../report/formatHtml";
import { formatText } from "../report/formatText";
import { summarise } from "../report/summarise";
import { loadScenario } from "../scenario/loadScenario";
import { runExperiment } from "../simulation/runExperiment";

const POLICIES: readonly RoutingPolicyName[] = [
    "cost-aware",
    "least-loaded",
    "prefix-affinity",
    "round-robin",
    "random",
];

/** `ibis-bench compare`: runs each routing policy on the same workloads against fake engines, in simulated time. */
export class CompareCommand extends Command {
    static override readonly paths = [["compare"]];
    static override readonly usage = Command.Usage({
        description: "Compare the routing policies on one scenario, in simulated time.",
        examples: [[
            "Compare over five seeds",
            "ibis-bench compare packages/bench/scenarios/federation.toml --seeds 5",
        ]],
    });

    scenarioPath = Option.String({ name: "scenario" });
    seeds = Option.String("--seeds", "5", { description: "Number of seeds." });
    firstSeed = Option.String("--first-seed", "1");
    load = Option.String("--load", "1", { description: "Factor applied to the request rate of the scenario." });
    replicas = Option.String("--replicas", { description: "Number of replicas; overrides the scenario." });
    placement = Option.String("--placement", "even", {
        description: "Placement of replicas: even or cheapest-two-zones.",
    });
    policies = Option.String("--policies", POLICIES.join(","));
    json = Option.String("--json", { description: "Output file for all results." });
    html = Option.String("--html", { description: "Output file for a report with plots." });

    override async execute(): Promise<number> {
        const loaded = loadScenario(this.scenarioPath);
        if (loaded.err) {
            this.context.stderr.write(`${loaded.val.message}\n`);
            return 1;
        }
        const scenario = {
            ...loaded.val,
            requestsPerSecond: loaded.val.requestsPerSecond * Number(this.load),
            replicas: Number(this.replicas ?? loaded.val.replicas),
        };
        const placement = this.placement === "even" ? "even" : "cheapest-two-zones";
        const hasher = await createHasher();
        const policies = POLICIES.filter(policy => this.policies.split(",").includes(policy));
        const seeds = Array.from({ length: Number(this.seeds) }, (_, index) => Number(this.firstSeed) + index);
        const results = policies.flatMap(policy =>
            seeds.map(seed => {
                this.context.stderr.write(`${policy}, seed ${seed}\n`);
                return runExperiment(scenario, policy, placement, seed, hasher);
            })
        );
        const summaries = summarise(results);
        const title = `${scenario.name}, ${scenario.replicas} replicas, ${scenario.requestsPerSecond} requests/s`;
        this.context.stdout.write(`${formatText(title, summaries)}\n`);
        if (this.json !== undefined) {
            writeFileSync(this.json, JSON.stringify({ scenario, summaries, results }, undefined, 4));
        }
        if (this.html !== undefined) {
            writeFileSync(this.html, formatHtml(title, summaries, results));
        }
        return 0;
    }
}
