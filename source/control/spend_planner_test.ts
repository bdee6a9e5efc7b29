import test from "ava";
import fc from "fast-check";
import { LoadForecast } from "./load_forecast.ts";
import { type PlannedServer, planOrders } from "./plan_orders.ts";
import {
  countServers,
  countServersAfterDomainLoss,
  SPEND_POLICIES,
  type SpendInput,
} from "./spend_planner.ts";

const SEED = 6301;
const DOMAINS = ["cluj-a", "iasi-b", "suceava-c"];
const INPUT: SpendInput = {
  failureDomains: DOMAINS,
  minimumServers: 1,
  maximumServers: 20,
  neededServers: 6,
  microsPerHour: { steady: 1000, cheap: 300 },
  boundMicrosPerHour: 0,
  isAvailable: () => true,
};

const CASES: Readonly<Record<string, Partial<SpendInput>>> = {
  "all tiers are available": {},
  "no cheap server is available": {
    isAvailable: ({ tier }) => tier === "steady",
  },
  "cheap servers are available in one domain": {
    isAvailable: ({ tier, failureDomain }) =>
      tier === "steady" || failureDomain === "iasi-b",
  },
  "cheap servers are available in two domains": {
    isAvailable: ({ tier, failureDomain }) =>
      tier === "steady" || failureDomain !== "iasi-b",
  },
  "nothing is needed": { neededServers: 0 },
  "more servers are needed than the service's maximum": { neededServers: 30 },
  "the bound on the cost is low": { boundMicrosPerHour: 2000 },
  "cheap servers cost almost as much": {
    microsPerHour: { steady: 1000, cheap: 900 },
  },
};

for (const [title, change] of Object.entries(CASES)) {
  test(`spend policies plan when ${title}`, (t) => {
    const plans = Object.entries(SPEND_POLICIES).map(([name, policy]) => {
      const { wanted, shortfall } = policy({ ...INPUT, ...change });
      const text = wanted.map(({ failureDomain, tier, servers }) =>
        `${servers} ${tier} in ${failureDomain}`
      ).join(", ");
      return `${name}: ${text}; shortfall ${shortfall}`;
    });
    t.snapshot(plans);
  });
}

test("domainLossBound keeps enough servers after a domain loses its cheap ones or reports a shortfall, within its bounds", (t) => {
  fc.assert(
    fc.property(
      fc.record({
        neededServers: fc.nat(20),
        minimumServers: fc.nat(4),
        maximumServers: fc.integer({ min: 4, max: 40 }),
        steady: fc.integer({ min: 100, max: 2000 }),
        cheap: fc.integer({ min: 10, max: 2000 }),
        boundMicrosPerHour: fc.oneof(fc.constant(0), fc.nat(20_000)),
        domainsWithoutCheap: fc.subarray(DOMAINS),
      }),
      ({ steady, cheap, domainsWithoutCheap, ...rest }) => {
        const input: SpendInput = {
          ...INPUT,
          ...rest,
          microsPerHour: { steady, cheap },
          isAvailable: ({ tier, failureDomain }) =>
            tier === "steady" || !domainsWithoutCheap.includes(failureDomain),
        };
        const { wanted, shortfall } = SPEND_POLICIES.domainLossBound(input);
        const cost = wanted.reduce(
          (sum, { tier, servers }) =>
            sum + servers * (tier === "cheap" ? cheap : steady),
          0,
        );
        return countServersAfterDomainLoss(wanted) + shortfall >=
            input.neededServers &&
          countServers(wanted) <= input.maximumServers &&
          (input.boundMicrosPerHour === 0 || cost <= input.boundMicrosPerHour);
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
  t.pass();
});

test("planned orders stop no server that is still needed", (t) => {
  const boundsAndPrices = {
    maximumServers: 5,
    microsPerHour: INPUT.microsPerHour,
    boundMicrosPerHour: 0,
  };
  const createPlannedServer = (
    number: number,
    change: Partial<PlannedServer>,
  ): PlannedServer => ({
    address: `10.0.0.${number}:80`,
    failureDomain: "cluj-a",
    tier: "steady",
    leaving: false,
    ...change,
  });
  const wanted = [{
    failureDomain: "iasi-b",
    tier: "cheap",
    servers: 2,
  }] as const;
  const old = [
    createPlannedServer(1, {}),
    createPlannedServer(2, {}),
    createPlannedServer(3, { leaving: true }),
  ];
  const starting = {
    failureDomain: "iasi-b",
    tier: "cheap",
    address: "",
  } as const;
  const running = { failureDomain: "iasi-b", tier: "cheap" } as const;
  t.snapshot({
    first: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: old,
      neededServers: 2,
    }),
    whileStarting: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: [
        ...old,
        createPlannedServer(0, starting),
        createPlannedServer(0, starting),
      ],
      neededServers: 2,
    }),
    oneRuns: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: [
        ...old,
        createPlannedServer(4, running),
        createPlannedServer(0, starting),
      ],
      neededServers: 2,
    }),
    withinThree: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: old,
      neededServers: 2,
      maximumServers: 3,
    }),
    withinCost: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: old,
      neededServers: 2,
      boundMicrosPerHour: 2000,
    }),
    bothRun: planOrders({
      ...boundsAndPrices,
      wanted,
      servers: [
        ...old,
        createPlannedServer(4, running),
        createPlannedServer(5, running),
      ],
      neededServers: 2,
    }),
  });
});

test("a load forecast follows a rising trend and takes a recent peak into account", (t) => {
  const options = { aheadMilliseconds: 60_000, memoryMilliseconds: 300_000 };
  const rise = new LoadForecast(options);
  const fall = new LoadForecast(options);
  for (let at = 0; at <= 300_000; at += 10_000) {
    rise.add(at, at / 30_000);
    fall.add(at, 10 - at / 60_000);
  }
  t.snapshot({
    rise: rise.predict(300_000),
    fall: fall.predict(300_000),
    none: new LoadForecast(options).predict(0),
  });
});
