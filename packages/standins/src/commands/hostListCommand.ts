import { Command, Option } from "clipanion";
import { createHostListStandIn } from "../hostList/createHostListStandIn";
import { runUntilSignal } from "./runUntilSignal";

/** Runs the stand-in of the host list. */
export class HostListCommand extends Command {
    static override paths = [["host-list"]];

    port = Option.String("--port", "0");
    lagMs = Option.String("--lag-ms", "1000", { description: "Time until a change of an upstream shows." });

    async execute(): Promise<number> {
        return runUntilSignal("host-list", await createHostListStandIn(Number(this.port), Number(this.lagMs)));
    }
}
