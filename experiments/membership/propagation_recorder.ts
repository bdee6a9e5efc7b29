import { build, type Histogram } from "hdr-histogram-js";

/** Published subject. Times are milliseconds on the clock that all processes share. */
interface SubjectRecord {
  readonly kind: string;
  readonly startedAt: number;
  /** Nodes that have not received the subject yet. */
  readonly waiting: Set<string>;
  /** Time of the latest receipt; the start of the publication before the first one. */
  latest: number;
}

/** Propagation times of subjects of one kind, in milliseconds. */
export interface PropagationSummary {
  readonly kind: string;
  readonly subjects: number;
  /** Subjects that some live node did not receive. */
  readonly incomplete: number;
  /** Median time until a node received a subject. */
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
  /** Median time until all live nodes had received a subject. */
  readonly allP50: number;
  readonly allP99: number;
}

/** Records when each node received each subject. */
export class PropagationRecorder {
  readonly #subjects = new Map<string, SubjectRecord>();
  /**
   * Receipt times by subject and node, for subjects whose publication has not been reported yet;
   * processes report independently of each other.
   */
  readonly #unmatchedReceipts = new Map<string, Map<string, number>>();
  readonly #histograms = new Map<string, Histogram>();

  /** Adds a subject that the given nodes must receive. */
  addSubject(
    subject: string,
    startedAt: number,
    nodes: Iterable<string>,
  ): void {
    const [kind = ""] = subject.split(" ");
    this.#subjects.set(subject, {
      kind,
      startedAt,
      waiting: new Set(nodes),
      latest: startedAt,
    });
    for (const [node, at] of this.#unmatchedReceipts.get(subject) ?? []) {
      this.recordReceipt(subject, node, at);
    }
    this.#unmatchedReceipts.delete(subject);
  }

  /** Records that a node received a subject. */
  recordReceipt(subject: string, node: string, at: number): void {
    const record = this.#subjects.get(subject);
    if (record === undefined) {
      return this.#addUnmatchedReceipt(subject, node, at);
    }
    if (!record.waiting.delete(node)) return;
    record.latest = Math.max(record.latest, at);
    this.#histogram(record.kind).recordValue(
      Math.max(1, Math.round(at - record.startedAt)),
    );
  }

  /** Removes a node that ended from all subjects. */
  removeNode(node: string): void {
    for (const { waiting } of this.#subjects.values()) waiting.delete(node);
  }

  /** Returns each incomplete subject with the nodes that have not received it. */
  describeIncomplete(): ReadonlyArray<string> {
    return [...this.#subjects].filter(([, { waiting }]) => waiting.size > 0)
      .map(([subject, { waiting }]) =>
        `${subject}: ${[...waiting].join(", ")}`
      );
  }

  /** Returns a summary of each kind of subject. */
  summarise(): ReadonlyArray<PropagationSummary> {
    return [...this.#histograms].map(([kind, histogram]) => {
      const subjects = [...this.#subjects.values()].filter((each) =>
        each.kind === kind
      );
      const completionTimes = build();
      for (const { waiting, latest, startedAt } of subjects) {
        if (waiting.size > 0) continue;
        completionTimes.recordValue(
          Math.max(1, Math.round(latest - startedAt)),
        );
      }
      return {
        kind,
        subjects: subjects.length,
        incomplete: subjects.filter(({ waiting }) => waiting.size > 0).length,
        p50: histogram.getValueAtPercentile(50),
        p99: histogram.getValueAtPercentile(99),
        maximum: histogram.maxValue,
        allP50: completionTimes.getValueAtPercentile(50),
        allP99: completionTimes.getValueAtPercentile(99),
      };
    });
  }

  #addUnmatchedReceipt(subject: string, node: string, at: number): void {
    const nodes = this.#unmatchedReceipts.get(subject) ??
      new Map<string, number>();
    this.#unmatchedReceipts.set(subject, nodes);
    if (!nodes.has(node)) nodes.set(node, at);
  }

  #histogram(kind: string): Histogram {
    const histogram = this.#histograms.get(kind) ?? build();
    this.#histograms.set(kind, histogram);
    return histogram;
  }
}
