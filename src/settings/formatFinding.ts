import type Finding from '../core/Finding';

/** One line for a finding: `file:line:column path: what was found, what was expected`. */
export default function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}:${finding.column}`;
  const path = finding.path === '' ? '' : ` ${finding.path}`;
  return `${place}${path}: ${finding.message}`;
}
