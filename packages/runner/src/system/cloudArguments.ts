import type { Deployment } from "./deployment";

/** Returns the command-line arguments of the cloud stand-in for a deployment. */
export const cloudArguments = (deployment: Deployment, hostListUrl: string): readonly string[] => [
    "cloud",
    "--host-list-url",
    hostListUrl,
    "--plain-service",
    deployment.plainService,
    ...deployment.zones.flatMap(({ region, availabilityZone }) => ["--zone", `${region}/${availabilityZone}`]),
    ...[deployment.engineMachineClass, deployment.plainMachineClass].flatMap(name => ["--machine-class", name]),
];
