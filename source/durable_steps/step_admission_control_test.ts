import test from "ava";
import { createServerEntry } from "../../stand_ins/installation/create_server_entry.ts";
import { createStepTools } from "../../stand_ins/installation/create_step_tools.ts";
import { MemoryDurableTable } from "../../stand_ins/installation/memory_durable_table.ts";
import { AllowedRegions } from "../decisions/allowed_regions.ts";
import type { ServiceRoute } from "../installation/configuration.ts";
import { StepAdmissionControl } from "./step_admission_control.ts";
import type { StepEntry } from "./step_registry.ts";
import type { StepSubmission } from "./step_submission.ts";
import type { StepTools } from "./step_tools.ts";

const LIFETIME_MILLISECONDS = 1000;
const ROUTE = {
  services: [{ service: "s", weight: 1 }],
  sampleLifetimeMilliseconds: LIFETIME_MILLISECONDS,
} as unknown as ServiceRoute;

function allow(...names: ReadonlyArray<string>): AllowedRegions {
  return new AllowedRegions(new Set(names), (failureDomain) => failureDomain);
}

// Two engines of ten slots in each of two regions; a sample needs 100 ms.
function createControl(
  open: ReadonlyArray<
    { readonly samples: number; readonly allowed: AllowedRegions | undefined }
  >,
): StepAdmissionControl {
  const tools = createStepTools(new MemoryDurableTable());
  const engines = ["n", "n", "s", "s"].map((failureDomain, index) =>
    createServerEntry(`e${index}`, { failureDomain, slots: 10 })
  );
  const entries = open.map(({ samples }, index): StepEntry => ({
    manifest: {
      identifier: `s${index}`,
      organisation: String(index),
      host: "h",
      path: "/",
      submittedAt: tools.clock.wall(),
      total: samples,
      model: "m",
      step: index,
      upload: "",
      chunks: 1,
      owner: "",
    },
    owner: "",
    ownerVersion: 0,
    isEnded: false,
  }));
  return new StepAdmissionControl({
    ...tools,
    servers: { ofService: () => engines, isServiceEvacuated: () => false },
    pool: { usualEventMilliseconds: 10 },
    textLengths: { usualEvents: 10 },
    stepRegistry: { entries },
    regionRules: {
      find: ({ organisation }: { readonly organisation: string }) =>
        open[Number(organisation)]?.allowed,
    },
  } as unknown as StepTools);
}

function isAccepted(
  control: StepAdmissionControl,
  samples: number,
  allowed?: AllowedRegions,
): boolean {
  const submission = { samples: { length: samples } } as StepSubmission;
  return control.decide(submission, ROUTE, allowed).kind === "accept";
}

// 40 slots run 400 samples within their lifetime.
test("without lists all engines and all open steps count", (t) => {
  const control = createControl([{ samples: 300, allowed: undefined }]);
  t.true(isAccepted(control, 90));
  t.false(isAccepted(control, 120));
});

test("a step counts only the engines of its allowed regions", (t) => {
  const control = createControl([{ samples: 100, allowed: allow("n") }]);
  t.true(isAccepted(control, 90, allow("n")));
  t.false(isAccepted(control, 120, allow("n")), "20 slots run 200 samples");
  t.true(isAccepted(control, 120, allow("s")), "the open step is elsewhere");
});

test("of an open step that may run anywhere, the share of the step's engines counts", (t) => {
  const control = createControl([{ samples: 200, allowed: undefined }]);
  t.true(isAccepted(control, 90, allow("n")));
  t.false(isAccepted(control, 120, allow("n")));
});
