import { err, ok, Result } from 'neverthrow';
import {
  type Alias,
  type Document,
  type ErrorCode,
  isAlias,
  isMap,
  isNode,
  isScalar,
  isSeq,
  LineCounter,
  type Pair,
  parseDocument,
  visit,
  type YAMLError,
} from 'yaml';
import type Finding from '../core/Finding';

/** A parsed YAML text, with its value and the positions of its nodes. */
export default class YamlSource {
  private constructor(
    private readonly file: string,
    private readonly doc: Document,
    private readonly lines: LineCounter,
    /** The whole document as plain data. */
    readonly value: unknown,
    /** Mistakes that leave the value usable, such as a duplicate key. */
    readonly findings: readonly Finding[],
  ) {}

  /** Parses a text. Syntax errors and an empty document are reported as findings. */
  static parse(text: string, file: string): Result<YamlSource, readonly Finding[]> {
    const read = Result.fromThrowable(
      () => YamlSource.read(text, file),
      (error) => [finding(file, { line: 1, col: 1 }, `cannot be read as YAML: ${reasonOf(error)}`)],
    );
    return read().andThen((result) => result);
  }

  private static read(text: string, file: string): Result<YamlSource, readonly Finding[]> {
    const lines = new LineCounter();
    const doc = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    const mistakes = [...doc.errors, ...doc.warnings];
    const findings = mistakes.map((mistake) =>
      finding(file, lines.linePos(mistake.pos[0]), messageOf(mistake)),
    );
    for (const alias of unresolvedAliases(doc)) {
      const message = `found the alias "${alias.source}", expected one that is defined before`;
      findings.push(finding(file, lines.linePos(startOf(alias) ?? 0), message));
    }
    const usable = doc.errors.every((error) => error.code === 'DUPLICATE_KEY');
    if (!usable || findings.length > mistakes.length) return err(findings);
    const value: unknown = doc.toJS();
    if (value === null || value === undefined) {
      const message = 'found an empty document, expected a mapping';
      return err([...findings, finding(file, { line: 1, col: 1 }, message)]);
    }
    return ok(new YamlSource(file, doc, lines, value, findings));
  }

  /** A finding about the value at the path; if that is absent, it has the position of the nearest enclosing node. */
  findingAt(path: readonly string[], message: string): Finding {
    return this.finding(path, this.locate(path).value, message);
  }

  /** A finding about the last key of the path. */
  findingAtKey(path: readonly string[], message: string): Finding {
    const { key, value } = this.locate(path);
    return this.finding(path, key ?? value, message);
  }

  /** A finding about a key that is missing in the mapping at the parent path. */
  findingMissing(parent: readonly string[], key: string, message: string): Finding {
    const around = this.locate(parent);
    return this.finding([...parent, key], around.key ?? around.value, message);
  }

  private finding(path: readonly string[], offset: number, message: string): Finding {
    return finding(this.file, this.lines.linePos(offset), message, path.join('.'));
  }

  private locate(path: readonly string[]): Location {
    let node: unknown = this.doc.contents;
    let location: Location = { value: startOf(node) ?? 0 };
    for (const segment of path) {
      if (isAlias(node)) node = node.resolve(this.doc);
      if (isSeq(node)) {
        node = node.items[Number(segment)];
        location = { value: startOf(node) ?? location.value };
      } else {
        const pair = pairOf(node, segment);
        if (!pair) return location;
        const key = startOf(pair.key);
        node = pair.value;
        location = { key, value: startOf(node) ?? key ?? location.value };
      }
    }
    return location;
  }
}

const MESSAGES: Readonly<Partial<Record<ErrorCode, string>>> = {
  DUPLICATE_KEY: 'found a key a second time, expected it once',
  MULTIPLE_DOCS: 'found a second document, expected one',
};

interface Location {
  readonly key?: number;
  readonly value: number;
}

function unresolvedAliases(doc: Document): readonly Alias[] {
  const found: Alias[] = [];
  visit(doc, {
    Alias: (_, alias) => {
      if (!alias.resolve(doc)) found.push(alias);
    },
  });
  return found;
}

function startOf(node: unknown): number | undefined {
  return isNode(node) ? node.range?.[0] : undefined;
}

function pairOf(node: unknown, key: string): Pair | undefined {
  if (!isMap(node)) return undefined;
  return node.items.find((pair) => isScalar(pair.key) && String(pair.key.value) === key);
}

function finding(
  file: string,
  pos: { readonly line: number; readonly col: number },
  message: string,
  path = '',
): Finding {
  return { file, line: Math.max(pos.line, 1), column: Math.max(pos.col, 1), path, message };
}

function messageOf(mistake: YAMLError): string {
  return MESSAGES[mistake.code] ?? `cannot be read as YAML: ${mistake.message}`;
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
