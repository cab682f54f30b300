import type { ValidateFunction } from 'ajv';
import { err, ok, type Result } from 'neverthrow';
import type Finding from '../core/Finding';
import schemaFindings from './schemaFindings';
import sortFindings from './sortFindings';
import YamlSource from './YamlSource';

/**
 * Reads settings of one kind from YAML text, fills in the defaults and checks them with the validator
 * generated from their schema. The file name is used only in the findings.
 */
export default function checkSettings<Settings>(
  text: string,
  file: string,
  validate: ValidateFunction,
): Result<Settings, readonly Finding[]> {
  return YamlSource.parse(text, file).andThen((source) => {
    validate(source.value);
    const findings = [...source.findings, ...schemaFindings(source, validate.errors)];
    if (findings.length > 0) return err(sortFindings(findings));
    return ok(source.value as Settings);
  });
}
