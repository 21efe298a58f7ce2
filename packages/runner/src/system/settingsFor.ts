import { stringify } from "smol-toml";

interface ProcessLocation {
    readonly region: string;
    readonly availabilityZone: string;
}

interface PlatformUrls {
    readonly keyValueUrl: string;
    readonly hostListUrl: string;
    readonly cloudUrl?: string;
    readonly weightStoreUrl?: string;
}

const loopback = { address: "127.0.0.1", port: 0, tls: "off" } as const;

const common = (place: ProcessLocation, platform: PlatformUrls) => ({
    process: { ...place, operations: loopback },
    platform,
});

/** Functions that return the settings file of each program, in TOML, for a system on loopback. */
export const settingsFor = {
    entry: (place: ProcessLocation, platform: PlatformUrls, eventIdSecret: string): string =>
        stringify({ ...common(place, platform), callers: loopback, internal: loopback, streams: { eventIdSecret } }),
    admin: (place: ProcessLocation, platform: PlatformUrls, tokenSha256: string): string =>
        stringify({
            ...common(place, platform),
            admin: { listener: loopback },
            internal: loopback,
            operators: [{ name: "example-operator", tokenSha256, teams: ["*"] }],
        }),
    control: (place: ProcessLocation, platform: PlatformUrls): string =>
        stringify({ ...common(place, platform), internal: loopback }),
};
