/** Describes a process to start: its program, arguments and location. */
export interface ProcessPlan {
    readonly name: string;
    /** File name under `dist` without the extension. */
    readonly program: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly args: readonly string[];
}
