/** An example deployment: its resources, availability zones, services and client accounts. */
export interface Deployment {
    readonly name: string;
    /** Directory of the resource manifests. */
    readonly resourcesDirectory: string;
    readonly zones: readonly { readonly region: string; readonly availabilityZone: string; }[];
    readonly model: string;
    readonly engineService: string;
    readonly plainService: string;
    readonly engineMachineClass: string;
    readonly plainMachineClass: string;
    readonly clientAccounts: readonly { readonly name: string; readonly key: string; }[];
}
