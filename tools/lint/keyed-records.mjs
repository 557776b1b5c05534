/**
 * A lint rule: a plain object with an index signature is not accessed by a computed key. A name from outside may be that
 * of a property of `Object.prototype`, such as `constructor`. Tables are Maps; the values of a JSON document are read
 * with `ownValue` of `src/base/own-value.ts`.
 */

/** The rule in the format of eslint; it needs the types of the program. */
export const keyedRecords = {
  meta: {
    type: 'problem',
    docs: { description: 'a plain object is not accessed by a name from outside' },
    messages: {
      access: 'A name may be that of a property of Object.prototype: use a Map, or ownValue for a JSON document.',
    },
    schema: [],
  },
  create(context) {
    const services = context.sourceCode.parserServices;
    const checker = services.program.getTypeChecker();

    function partsOf(type) {
      return type.isUnion() ? type.types : [type];
    }
    function hasStringIndex(type) {
      return checker.getIndexInfosOfType(type).some(({ keyType }) => checker.typeToString(keyType) === 'string');
    }
    function isKeyedRecord(node) {
      const type = checker.getNonNullableType(services.getTypeAtLocation(node));
      return partsOf(type).some(hasStringIndex);
    }
    function isFixedKey(node) {
      const parts = partsOf(services.getTypeAtLocation(node));
      return parts.every((part) => part.isStringLiteral() || part.isNumberLiteral());
    }
    /** Deleting a key concerns own properties only. */
    function isDeleted(node) {
      return node.parent.type === 'UnaryExpression' && node.parent.operator === 'delete';
    }
    return {
      MemberExpression(node) {
        if (node.computed && !isFixedKey(node.property) && !isDeleted(node) && isKeyedRecord(node.object))
          context.report({ node, messageId: 'access' });
      },
    };
  },
};
