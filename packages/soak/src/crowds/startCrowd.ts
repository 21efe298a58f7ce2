import { spawn } from "node:child_process";
import type { CrowdPlan } from "./crowdPlan";

/** Processes that share the connections: one alone sends no faster than a listener reads. */
const PROCESSES = 4;

/** Starts processes of the crowd program that open the connections of a plan; disposing of the crowd kills them. */
export const startCrowd = (plan: CrowdPlan, program: string): Disposable => {
    const share = { ...plan, connections: Math.ceil(plan.connections / PROCESSES) };
    const children = Array.from(
        { length: PROCESSES },
        () => spawn(process.execPath, [program, JSON.stringify(share)], { stdio: "ignore" }),
    );
    return { [Symbol.dispose]: () => children.forEach(child => child.kill("SIGKILL")) };
};
