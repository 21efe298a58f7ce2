import { join } from "node:path";
import type { Deployment } from "../system/deployment";

const accountsOf = (deployment: string, names: readonly string[]) =>
    names.map(name => ({ name, key: `${deployment}-${name}-example-key` }));

/** The example deployments, by the name that `--deployment` takes. */
export const deployments: Readonly<Record<"cimenbilim" | "federation", Deployment>> = {
    cimenbilim: {
        name: "cimenbilim",
        resourcesDirectory: join("examples", "cimenbilim"),
        zones: [
            { region: "marmara", availabilityZone: "marmara-a" },
            { region: "ege", availabilityZone: "ege-a" },
            { region: "ic-anadolu", availabilityZone: "ic-anadolu-a" },
        ],
        model: "advisor",
        engineService: "advisor",
        plainService: "payments",
        engineMachineClass: "standard",
        plainMachineClass: "small",
        clientAccounts: accountsOf("cimenbilim", ["mobile", "web", "crew", "parks", "batch-plans"]),
    },
    federation: {
        name: "federation",
        resourcesDirectory: join("examples", "federation"),
        zones: [
            { region: "finistere", availabilityZone: "finistere-a" },
            { region: "ille-vilaine", availabilityZone: "ille-vilaine-a" },
            { region: "morbihan", availabilityZone: "morbihan-a" },
        ],
        model: "letters",
        engineService: "letters",
        plainService: "register",
        engineMachineClass: "standard",
        plainMachineClass: "small",
        clientAccounts: accountsOf("federation", ["quimper", "rennes", "vannes", "market-stall", "newsletter"]),
    },
};
