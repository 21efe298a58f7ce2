// Import rules of the workspace: each package may import only the packages named for it.
module.exports = {
    forbidden: [
        { name: "no-circular", severity: "error", from: {}, to: { circular: true } },
        {
            name: "public-index-only",
            severity: "error",
            from: { path: "^packages/([^/]+)/" },
            to: { path: "^packages/([^/]+)/src/", pathNot: "^packages/($1/|[^/]+/src/index\\.ts$)" },
        },
        {
            name: "core-imports",
            severity: "error",
            from: { path: "^packages/core/src" },
            to: { path: "^packages/", pathNot: "^packages/(core)/" },
        },
        {
            name: "resources-imports",
            severity: "error",
            from: { path: "^packages/resources/src" },
            to: { path: "^packages/", pathNot: "^packages/(resources|core)/" },
        },
        {
            name: "protocol-imports",
            severity: "error",
            from: { path: "^packages/protocol/src" },
            to: { path: "^packages/", pathNot: "^packages/(protocol|core)/" },
        },
        {
            name: "platform-imports",
            severity: "error",
            from: { path: "^packages/platform/src" },
            to: { path: "^packages/", pathNot: "^packages/(platform|core)/" },
        },
        {
            name: "runtime-imports",
            severity: "error",
            from: { path: "^packages/runtime/src" },
            to: { path: "^packages/", pathNot: "^packages/(runtime|core|resources)/" },
        },
        {
            name: "upstreams-imports",
            severity: "error",
            from: { path: "^packages/upstreams/src" },
            to: { path: "^packages/", pathNot: "^packages/(upstreams|core)/" },
        },
        {
            name: "routing-imports",
            severity: "error",
            from: { path: "^packages/routing/src" },
            to: { path: "^packages/", pathNot: "^packages/(routing|core|resources)/" },
        },
        {
            name: "limits-imports",
            severity: "error",
            from: { path: "^packages/limits/src" },
            to: { path: "^packages/", pathNot: "^packages/(limits|core|resources)/" },
        },
        {
            name: "membership-imports",
            severity: "error",
            from: { path: "^packages/membership/src" },
            to: { path: "^packages/", pathNot: "^packages/(membership|core|protocol)/" },
        },
        {
            name: "configuration-imports",
            severity: "error",
            from: { path: "^packages/configuration/src" },
            to: { path: "^packages/", pathNot: "^packages/(configuration|core|platform|protocol|resources)/" },
        },
        {
            name: "ledger-imports",
            severity: "error",
            from: { path: "^packages/ledger/src" },
            to: { path: "^packages/", pathNot: "^packages/(ledger|core|platform|protocol)/" },
        },
        {
            name: "streams-imports",
            severity: "error",
            from: { path: "^packages/streams/src" },
            to: { path: "^packages/", pathNot: "^packages/(streams|core|resources|upstreams)/" },
        },
        {
            name: "placement-imports",
            severity: "error",
            from: { path: "^packages/placement/src" },
            to: { path: "^packages/", pathNot: "^packages/(placement|core|platform|resources)/" },
        },
        {
            name: "peering-imports",
            severity: "error",
            from: { path: "^packages/peering/src" },
            to: {
                path: "^packages/",
                pathNot: "^packages/(peering|core|configuration|membership|platform|protocol|resources|runtime)/",
            },
        },
        {
            name: "discovery-imports",
            severity: "error",
            from: { path: "^packages/discovery/src" },
            to: { path: "^packages/", pathNot: "^packages/(discovery|core|platform|protocol)/" },
        },
        {
            name: "gateway-imports",
            severity: "error",
            from: { path: "^packages/gateway/src" },
            to: { path: "^packages/", pathNot: "^packages/(gateway|admission|core|quarantine|rollouts)/" },
        },
        {
            name: "admission-imports",
            severity: "error",
            from: { path: "^packages/admission/src" },
            to: { path: "^packages/", pathNot: "^packages/(admission|core)/" },
        },
        {
            name: "quarantine-imports",
            severity: "error",
            from: { path: "^packages/quarantine/src" },
            to: { path: "^packages/", pathNot: "^packages/(quarantine|core)/" },
        },
        {
            name: "rollouts-imports",
            severity: "error",
            from: { path: "^packages/rollouts/src" },
            to: { path: "^packages/", pathNot: "^packages/(rollouts|core)/" },
        },
        {
            name: "duties-imports",
            severity: "error",
            from: { path: "^packages/duties/src" },
            to: { path: "^packages/", pathNot: "^packages/(duties|core|platform|placement)/" },
        },
        {
            name: "relay-imports",
            severity: "error",
            from: { path: "^packages/relay/src" },
            to: { path: "^packages/", pathNot: "^packages/(relay|core|runtime)/" },
        },
        {
            name: "edge-imports",
            severity: "error",
            from: { path: "^packages/edge/src" },
            to: {
                path: "^packages/",
                pathNot:
                    "^packages/(edge|admission|core|discovery|duties|gateway|platform|quarantine|relay|rollouts|runtime)/",
            },
        },
        {
            name: "only-the-adapter-knows-the-users-platform",
            severity: "error",
            from: { path: "^packages/" },
            to: { path: "^platform/" },
        },
        {
            name: "users-platform-imports",
            severity: "error",
            from: { path: "^platform/src" },
            to: {
                path: "^packages/",
                pathNot: "^packages/(core|duties|edge|gateway|platform|rollouts|runtime)/src/index\\.ts$",
            },
        },
        {
            name: "users-platform-soak-imports",
            severity: "error",
            from: { path: "^platform/(soak|cost)" },
            to: { path: "^packages/", pathNot: "^packages/(core|soak)/src/index\\.ts$" },
        },
        {
            name: "soak-imports",
            severity: "error",
            from: { path: "^packages/soak/src" },
            to: { path: "^packages/", pathNot: "^packages/(soak|core)/" },
        },
        {
            name: "entry-imports",
            severity: "error",
            from: { path: "^packages/entry/src" },
            to: {
                path: "^packages/",
                pathNot:
                    "^packages/(entry|peering|core|resources|protocol|platform|runtime|upstreams|routing|limits|membership|configuration|ledger|streams)/",
            },
        },
        {
            name: "control-imports",
            severity: "error",
            from: { path: "^packages/control/src" },
            to: {
                path: "^packages/",
                pathNot:
                    "^packages/(control|peering|core|resources|protocol|platform|runtime|upstreams|membership|configuration|placement)/",
            },
        },
        {
            name: "admin-imports",
            severity: "error",
            from: { path: "^packages/admin/src" },
            to: {
                path: "^packages/",
                pathNot: "^packages/(admin|peering|core|resources|protocol|platform|runtime|membership|configuration)/",
            },
        },
        {
            name: "ctl-imports",
            severity: "error",
            from: { path: "^packages/ctl/src" },
            to: { path: "^packages/", pathNot: "^packages/(ctl|core|resources)/" },
        },
        {
            name: "standins-imports",
            severity: "error",
            from: { path: "^packages/standins/src" },
            to: { path: "^packages/", pathNot: "^packages/(standins|core|resources|platform|upstreams|runtime)/" },
        },
        {
            name: "runner-imports",
            severity: "error",
            from: { path: "^packages/runner/src" },
            to: { path: "^packages/", pathNot: "^packages/(runner|core|resources|platform|standins|upstreams)/" },
        },
        {
            name: "capacity-imports",
            severity: "error",
            from: { path: "^packages/capacity/src" },
            to: { path: "^packages/", pathNot: "^packages/(capacity|core|platform|runner)/" },
        },
        {
            name: "bench-imports",
            severity: "error",
            from: { path: "^packages/bench/src" },
            to: {
                path: "^packages/",
                pathNot: "^packages/(bench|core|resources|platform|upstreams|routing|limits|standins|runner)/",
            },
        },
        {
            name: "proofs-imports",
            severity: "error",
            from: { path: "^packages/proofs/src" },
            to: {
                path: "^packages/",
                pathNot: "^packages/(proofs|core|resources|platform|standins|runner|upstreams)/",
            },
        },
    ],
    options: {
        doNotFollow: { path: "node_modules" },
        tsConfig: { fileName: "tsconfig.json" },
        tsPreCompilationDeps: true,
        enhancedResolveOptions: { exportsFields: ["exports"], conditionNames: ["require", "node", "types"] },
    },
};
