// The configuration of the cases: one route for streams, and one account.

export const HOST_NAME = "chat.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";

export const configOf = ({ version = 7, routes, services }) => ({
    Version: version,
    Routes: routes,
    Services: services.map(name => ({
        Name: name, HealthPath: "/health", MaxConnections: 370, Protocol: "h1", Tls: false,
        InferenceEngine: {
            Slots: 64, KvCapacityTokens: 232000, KvTokenBytes: 327680, LinkMbps: 1100000, Moves: false, Backups: false,
            Stride: 3, most: 12, PinMs: 4000, HoldMs: 2000, HandleS: 5, Models: [{ Name: "m" }],
        },
    })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{
        Name: "hule930", ApiKeys: [KEY], Priority: 1, Unit: "tokens", PlainTokens: 200, RatePerS: 820000, Burst: 820000,
    }],
});

export const streamRoute = target => ({
    Name: "r-chat", Host: HOST_NAME, PathPrefix: "/chat/", RouteKind: "streaming", TimeoutMs: 15000,
    TargetLatencyMs: 600, Priority: 0, MaxAttempts: 2, AllowAnonymous: false, Sticky: true, Resumable: true,
    GapTargetMs: 400, ...target,
});
