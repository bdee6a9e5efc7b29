const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;
const DATA_FIELD = "data:";

/**
 * Reads the data of server-sent events from a body.
 * @param body - Chunks of the body in UTF-8; an incomplete event at its end is dropped.
 * @throws {Error} When the body fails or an unfinished line exceeds 1,048,576 characters.
 * @example
 * ```ts
 * for await (const data of readServerSentEvents(answer.body)) handle(data);
 * ```
 */
export async function* readServerSentEvents(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let pending = "";
  let data: string[] = [];
  for await (const chunk of body) {
    pending += decoder.decode(chunk, { stream: true });
    const lines = pending.split(/\r?\n/);
    pending = lines.pop() ?? "";
    if (pending.length > MAXIMUM_EVENT_CHARACTERS) {
      throw new Error("Server-sent event is too large");
    }
    for (const line of lines) {
      if (line.startsWith(DATA_FIELD)) data.push(toData(line));
      if (line !== "" || data.length === 0) continue;
      yield data.join("\n");
      data = [];
    }
  }
}

function toData(line: string): string {
  const data = line.slice(DATA_FIELD.length);
  return data.startsWith(" ") ? data.slice(1) : data;
}
